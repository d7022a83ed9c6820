//! Handling of messages from other nodes.
use super::membership::{Membership, MembershipOutput};
use super::peer::OutlierVote;
use crate::messages::{Destination, Message, Payload};
use crate::table::MergeOutcome;
use crate::Seconds;

impl Membership {
    /// Applies a message and returns the responses to it.
    pub fn on_message(&mut self, now: Seconds, message: &Message) -> MembershipOutput {
        let mut output = MembershipOutput::default();
        let sender = message.sender.id;
        if self.superseded {
            return output;
        }
        if sender == self.local_id() {
            self.on_message_from_own_id(now, message, &mut output);
            return output;
        }
        self.resume_after_pause(now);
        let outcome = self.apply_update(now, &message.sender, "reported by the node itself", &mut output);
        if matches!(outcome, MergeOutcome::Stale | MergeOutcome::TableFull) {
            self.on_stale_sender(now, message, &mut output);
            return output;
        }
        let is_latest = self.record_sender(now, message);
        for update in &message.gossip {
            let cause = match update.reported_by {
                Some(reporter) => format!("reported by node {}, gossip from node {}", reporter.0, sender.0),
                None => format!("gossip from node {}", sender.0),
            };
            self.apply_update(now, update, &cause, &mut output);
        }
        self.handle_payload(now, message, &mut output);
        if is_latest && message.view_digest != self.table.digest() {
            self.begin_sync(now, sender, &mut output);
        }
        output
    }

    /// Handles a message whose sender's process was superseded or tombstoned, or does not fit in the table. It is sent
    /// a correction at the address in its entry; of its gossip only entries of this node are applied. Plain gossip is
    /// not answered, because two nodes that have forgotten each other would correct each other endlessly.
    fn on_stale_sender(&mut self, now: Seconds, message: &Message, output: &mut MembershipOutput) {
        let local = self.local_id();
        for update in message.gossip.iter().filter(|update| update.id == local) {
            self.apply_update(now, update, "gossip from a stale process", output);
        }
        if message.payload == Payload::Gossip {
            return;
        }
        let Some(address) = message.sender.metadata.address else { return };
        let correction = self.table.correction_for(&message.sender);
        self.send(Destination::Address(address), 0, Payload::Gossip, vec![correction], output);
    }

    /// Records the state that only the sender's latest message may change. Returns whether this message is the latest;
    /// a late or repeated one changes nothing.
    fn record_sender(&mut self, now: Seconds, message: &Message) -> bool {
        let (sender, process) = (message.sender.id, message.sender.incarnation.process);
        let is_known_process =
            self.table.get(sender).is_some_and(|member| member.incarnation.process == process);
        let Some(peer) = self.peers.get_mut(&sender) else { return false };
        if is_known_process && peer.process != process {
            // Each process starts its sequence numbers anew.
            peer.process = process;
            peer.sequence = 0;
        }
        let is_latest = is_known_process && message.sequence > peer.sequence;
        if is_latest {
            peer.sequence = message.sequence;
            peer.last_seen_at = now;
            peer.load = message.load;
            peer.outlier_vote = message.outlier.map(|id| OutlierVote { id, at: now });
        }
        is_latest
    }

    fn handle_payload(&mut self, now: Seconds, message: &Message, output: &mut MembershipOutput) {
        let sender = message.sender.id;
        match &message.payload {
            Payload::Probe => self.on_probe(message, output),
            Payload::IndirectProbe(target) => self.on_indirect_probe(now, message, *target, output),
            Payload::Ack => self.on_ack(now, sender, message.probe_number, output),
            Payload::IndirectAck(target) => self.on_indirect_ack(now, *target, message.probe_number),
            Payload::Nack(target) => self.on_nack(*target, message.probe_number),
            Payload::SyncDigest { from, to, entries } => {
                self.on_sync_digest(sender, *from, *to, entries, output);
            }
            Payload::SyncRequest(ids) => self.on_sync_request(sender, ids, output),
            Payload::Gossip => {}
        }
    }
}
