//! The gossip queue: member entries that ride on other messages, each a limited number of times (SWIM, section 4.1).
//! One entry waits for each member, the latest, so the queue is bounded by the number of members.
use crate::member::Member;
use crate::NodeId;
use std::collections::VecDeque;

/// Transmissions of each entry, per natural logarithm of the cluster size.
const RETRANSMIT_MULTIPLIER: f64 = 3.0;

/// An entry that waits, and how often it has been sent.
#[derive(Clone, Debug)]
struct Broadcast {
    member: Member,
    transmissions: u32,
}

/// Entries that wait to be gossiped.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue {
    queue: VecDeque<Broadcast>,
}

impl GossipQueue {
    /// Puts an entry first, in place of an older one of the same member.
    pub fn enqueue_front(&mut self, member: Member) {
        self.remove(member.id);
        self.queue.push_front(Broadcast { member, transmissions: 0 });
    }

    /// Puts an entry last, in place of an older one of the same member.
    pub fn enqueue(&mut self, member: Member) {
        self.remove(member.id);
        self.queue.push_back(Broadcast { member, transmissions: 0 });
    }

    /// Drops what waits of a member.
    pub fn remove(&mut self, id: NodeId) {
        self.queue.retain(|broadcast| broadcast.member.id != id);
    }

    /// Takes at most `max` entries from the front, except those that the message includes anyway. Each goes back to
    /// the end until it has been sent often enough for a cluster of `cluster_size`; with `unlimited`, without end.
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
            if included.iter().any(|known| known.id == broadcast.member.id) {
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

    /// Entries that wait.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}

fn retransmit_limit(cluster_size: usize) -> u32 {
    (RETRANSMIT_MULTIPLIER * (cluster_size as f64).ln().max(1.0)).ceil() as u32
}
