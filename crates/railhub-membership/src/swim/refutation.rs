//! Changes of this node's own entry: refutations, and the metadata and load that the node publishes.
use super::membership::{Membership, MembershipOutput};
use crate::member::Load;
use crate::messages::{Destination, Payload};
use crate::NodeId;

impl Membership {
    /// Gossips this node's entry after a report that the node is not alive was refuted under a higher incarnation.
    pub(super) fn on_refuted(&mut self) {
        self.health.on_refutation();
        self.gossip_local_entry();
    }

    pub(super) fn gossip_local_entry(&mut self) {
        self.gossip.enqueue_front(self.table.local().clone());
    }

    /// Publishes that this node is handing its slices over.
    pub fn start_draining(&mut self) {
        self.table.update_local_metadata(|metadata| metadata.draining = true);
        self.gossip_local_entry();
    }

    /// Publishes whether the lease store is unreachable from this node, if that has changed.
    pub fn set_store_unreachable(&mut self, unreachable: bool) {
        if self.table.local().metadata.store_unreachable == unreachable {
            return;
        }
        self.table.update_local_metadata(|metadata| metadata.store_unreachable = unreachable);
        self.gossip_local_entry();
    }

    /// Sets the load that is sent with each message from now on.
    pub fn set_load(&mut self, load: Load) {
        self.load = load;
    }

    /// Marks this node as having left and announces it to all live members.
    pub fn leave(&mut self) -> MembershipOutput {
        self.table.leave();
        let mut output = MembershipOutput::default();
        let live: Vec<NodeId> = self.live_peers().collect();
        for id in live {
            self.send(Destination::Node(id), 0, Payload::Gossip, Vec::new(), &mut output);
        }
        output
    }
}
