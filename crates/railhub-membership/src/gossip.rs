//! The gossip queue: member entries that are piggybacked on other messages, each a limited number of times (SWIM,
//! section 4.1). Only the latest entry of each member is queued, so the number of members bounds the queue.
use crate::member::Member;
use crate::NodeId;
use std::collections::VecDeque;

/// Transmissions of each entry per unit of the natural logarithm of the cluster size.
const RETRANSMIT_MULTIPLIER: f64 = 3.0;

/// A queued entry and the number of times it has been sent.
#[derive(Clone, Debug)]
struct Broadcast {
    member: Member,
    transmissions: u32,
}

/// Member entries queued for gossip, in the order in which they are sent.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue {
    queue: VecDeque<Broadcast>,
}

impl GossipQueue {
    /// Adds an entry at the front, replacing any queued entry of the same member.
    pub fn enqueue_front(&mut self, member: Member) {
        self.remove(member.id);
        self.queue.push_front(Broadcast { member, transmissions: 0 });
    }

    /// Adds an entry at the back, replacing any queued entry of the same member.
    pub fn enqueue(&mut self, member: Member) {
        self.remove(member.id);
        self.queue.push_back(Broadcast { member, transmissions: 0 });
    }

    /// Removes the queued entry of a member, if there is one.
    pub fn remove(&mut self, id: NodeId) {
        self.queue.retain(|broadcast| broadcast.member.id != id);
    }

    /// Takes up to `max` entries from the front for one message, skipping members in `included`, whose entries the
    /// message already has. A taken entry is queued again at the back until it reaches the transmission limit for
    /// `cluster_size` nodes; with `unlimited`, it is always queued again.
    pub fn take(
        &mut self,
        max: usize,
        included: &[Member],
        cluster_size: usize,
        unlimited: bool,
    ) -> Vec<Member> {
        let limit = retransmit_limit(cluster_size);
        let mut taken = Vec::new();
        for _ in 0..self.queue.len().min(max) {
            let Some(mut broadcast) = self.queue.pop_front() else { break };
            if included.iter().any(|entry| entry.id == broadcast.member.id) {
                self.queue.push_back(broadcast);
                continue;
            }
            taken.push(broadcast.member.clone());
            broadcast.transmissions += 1;
            if broadcast.transmissions < limit || unlimited {
                self.queue.push_back(broadcast);
            }
        }
        taken
    }

    /// Number of queued entries.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether no entry is queued.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}

fn retransmit_limit(cluster_size: usize) -> u32 {
    (RETRANSMIT_MULTIPLIER * (cluster_size as f64).ln().max(1.0)).ceil() as u32
}
