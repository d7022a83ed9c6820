//! What a steward tells of itself: that it hands its slices over, has no store, is so loaded, goes.
use super::*;

impl Membership {
    /// We hand our slices over; the others learn of it.
    pub fn drain(&mut self) {
        self.table.rewrite(|metadata| metadata.draining = true);
        self.gossip.enqueue_front(self.table.me().clone());
    }

    /// The store does not answer us, or does again; the others learn of it.
    pub fn set_no_store(&mut self, store_unreachable: bool) {
        if self.table.me().metadata.store_unreachable != store_unreachable {
            self.table.rewrite(|metadata| metadata.store_unreachable = store_unreachable);
            self.gossip.enqueue_front(self.table.me().clone());
        }
    }

    /// It hands its slices over, and says so.
    pub fn draining(&self, id: NodeId) -> bool {
        self.table.get(id).is_some_and(|entry| entry.metadata.draining)
    }

    pub fn set_load(&mut self, load: Load) {
        self.load = load;
    }

    /// Tells the others that we go.
    pub fn leave(&mut self, _now: Seconds) -> OutgoingMessage {
        self.table.leave();
        let mut mail = OutgoingMessage::new();
        for id in self.living().collect::<Vec<_>>() {
            self.send(Destination::Node(id), 0, Payload::Gossip, Vec::new(), &mut mail);
        }
        mail
    }
}
