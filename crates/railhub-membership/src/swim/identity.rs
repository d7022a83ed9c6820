//! Two processes under one id. The one with the lower process number takes no part any more.
//!
//! A process with a higher number may be reported without a message of its own: after a clock was set back, the numbers
//! of earlier processes of this node are above its own. If no message of it comes in time, this process takes a number
//! above it.
use super::membership::{IdentityConflict, Membership, MembershipOutput};
use crate::member::{Member, Status};
use crate::messages::{Destination, MemberChange, Message, Payload};
use crate::safeguard::Safeguard;
use crate::Seconds;

/// Seconds within which a message of a reported process must come, or it counts as ended.
const IDENTITY_CONFLICT_TIMEOUT: Seconds = 2.0;

impl Membership {
    /// A message under this node's own id. Its own come back by a seed address that is its own; an older process is
    /// sent this process's entry; a newer one takes over.
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

    /// Another process under this node's id, with a higher number, was reported.
    pub(super) fn record_identity_conflict(&mut self, now: Seconds, update: &Member) {
        let process = update.incarnation.process;
        if self.conflict.is_some_and(|conflict| conflict.process >= process) {
            return;
        }
        let own_address = self.table.local().metadata.address;
        let address = update.metadata.address.filter(|address| Some(*address) != own_address);
        self.conflict = Some(IdentityConflict { process, address, reported_at: now });
    }

    /// Probes the reported process: if it lives it answers, and takes over.
    pub(super) fn probe_conflicting_process(&mut self, output: &mut MembershipOutput) {
        if let Some(address) = self.conflict.and_then(|conflict| conflict.address) {
            self.send(Destination::Address(address), 0, Payload::Probe, Vec::new(), output);
        }
    }

    /// Takes a number above a reported process that stayed silent.
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
