//! Conflicts between two processes with the same node id. The process with the lower number stops taking part.
//!
//! Another node may report a process with a higher number that no longer runs: after the clock was set back, earlier
//! processes of this node have higher numbers than this one. If no message from the reported process arrives in time,
//! this process adopts a number above it.
use super::membership::{IdentityConflict, Membership, MembershipOutput};
use crate::member::{Member, Status};
use crate::messages::{Destination, MemberChange, Message, Payload};
use crate::safeguard::Safeguard;
use crate::Seconds;

/// Seconds within which a message from a reported process must arrive; otherwise it is assumed to have ended.
const IDENTITY_CONFLICT_TIMEOUT: Seconds = 2.0;

impl Membership {
    /// Handles a message whose sender has this node's id. Messages of this process come back if a seed address is the
    /// node's own, and are ignored. An older process is sent this process's entry; a newer one supersedes this process.
    pub(super) fn on_message_from_own_id(
        &mut self,
        now: Seconds,
        message: &Message,
        output: &mut MembershipOutput,
    ) {
        let their_process = message.sender.incarnation.process;
        let own_process = self.incarnation().process;
        if their_process < own_process {
            if let Some(address) = message.sender.metadata.address {
                let to = Destination::Address(address);
                self.send(to, message.probe_number, Payload::Ack, Vec::new(), output);
            }
        }
        if their_process <= own_process || self.table.is_disabled(Safeguard::ProcessOrder) {
            return;
        }
        self.superseded = true;
        self.resume_after_pause(now);
        let local = self.table.local();
        output.changes.push(MemberChange {
            id: local.id,
            incarnation: local.incarnation,
            status: Status::Left,
            ejected: true,
            cause: format!("process {own_process} was superseded by process {their_process} of the same id"),
        });
    }

    /// Records that another process under this node's id, with a higher number, was reported.
    pub(super) fn record_identity_conflict(&mut self, now: Seconds, update: &Member) {
        let process = update.incarnation.process;
        if self.conflict.is_some_and(|conflict| conflict.process >= process) {
            return;
        }
        let own_address = self.table.local().metadata.address;
        let address = update.metadata.address.filter(|address| Some(*address) != own_address);
        self.conflict = Some(IdentityConflict { process, address, reported_at: now });
    }

    /// Probes the reported process: if it is alive, it answers and supersedes this one.
    pub(super) fn probe_conflicting_process(&mut self, output: &mut MembershipOutput) {
        if let Some(address) = self.conflict.and_then(|conflict| conflict.address) {
            self.send(Destination::Address(address), 0, Payload::Probe, Vec::new(), output);
        }
    }

    /// Adopts a number above the reported process if no message from it arrived in time.
    pub(super) fn expire_identity_conflict(&mut self, now: Seconds, output: &mut MembershipOutput) {
        let Some(IdentityConflict { process, reported_at, .. }) = self.conflict else { return };
        let silent_for = now - reported_at;
        if silent_for < IDENTITY_CONFLICT_TIMEOUT {
            return;
        }
        self.conflict = None;
        self.table.adopt_process_above(process);
        let local = self.table.local();
        output.changes.push(MemberChange {
            id: local.id,
            incarnation: local.incarnation,
            status: local.status,
            ejected: false,
            cause: format!("process {process} of the same id was reported and silent for {silent_for:.1} s"),
        });
        self.gossip_local_entry();
    }
}
