//! Anti-entropy sync (push-pull): two nodes whose view digests differ compare a page of their tables and send each
//! other their newer entries. Gossip alone may fail to reach a node; sync reaches it in the end.
use super::membership::{Membership, MembershipOutput};
use crate::member::Member;
use crate::messages::{Destination, DigestEntry, Payload, MAX_DIGEST_ENTRIES, MAX_GOSSIP_PER_MESSAGE};
use crate::safeguard::Safeguard;
use crate::{NodeId, Seconds};

/// Shortest time in seconds between two syncs that a node begins.
const SYNC_INTERVAL: Seconds = 0.3;
/// The most messages in response to one sync request.
const MAX_SYNC_RESPONSES: usize = MAX_DIGEST_ENTRIES / MAX_GOSSIP_PER_MESSAGE;

impl Membership {
    /// If a sync is due, sends the next page of the table's digest to a node whose view differs.
    pub(super) fn begin_sync(&mut self, now: Seconds, with: NodeId, output: &mut MembershipOutput) {
        if now < self.next_sync_at || self.table.is_disabled(Safeguard::AntiEntropy) {
            return;
        }
        self.next_sync_at = now + SYNC_INTERVAL;
        let page = self.table.digest_page(self.next_sync_from);
        self.next_sync_from = page.next;
        let digest = Payload::SyncDigest { from: page.from, to: page.to, entries: page.entries };
        self.send(Destination::Node(with), 0, digest, Vec::new(), output);
    }

    /// Compares a digest page with the table: sends entries that are newer here and requests those that are newer at
    /// the sender.
    pub(super) fn on_sync_digest(
        &mut self,
        sender: NodeId,
        from: NodeId,
        to: NodeId,
        entries: &[DigestEntry],
        output: &mut MembershipOutput,
    ) {
        let diff = self.table.diff(from, to, entries);
        if diff.newer.is_empty() && diff.wanted.is_empty() {
            return;
        }
        self.send(Destination::Node(sender), 0, Payload::SyncRequest(diff.wanted), diff.newer, output);
    }

    /// Sends the requested entries.
    pub(super) fn on_sync_request(&mut self, sender: NodeId, ids: &[NodeId], output: &mut MembershipOutput) {
        let known: Vec<Member> = ids.iter().filter_map(|id| self.table.get(*id).cloned()).collect();
        for entries in known.chunks(MAX_GOSSIP_PER_MESSAGE).take(MAX_SYNC_RESPONSES) {
            self.send(Destination::Node(sender), 0, Payload::Gossip, entries.to_vec(), output);
        }
    }
}
