//! Reads the traffic between members: gossip about third members, declared deaths, and the volume of the traffic.
use crate::view::observation::ViewObservation;
use railhub_membership::member::{Member, Status};
use std::collections::BTreeSet;

/// One incarnation of a member.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct MemberIncarnation {
    controller: u16,
    process: u64,
    count: u64,
}

/// The gossip in a message, as the tap reads it.
pub struct TappedGossip<'a> {
    /// Time of the message, in seconds since the start of the run.
    pub at: f64,
    /// The controller that sent the message.
    pub sender: u16,
    /// The controller that the message was sent to, if it is known.
    pub receiver: Option<u16>,
    /// The membership entries in the message.
    pub entries: &'a [Member],
}

/// Reads all messages between members.
#[derive(Default)]
pub struct GossipTap {
    declared_dead: BTreeSet<MemberIncarnation>,
    gossip_seconds: BTreeSet<u32>,
    datagrams: u64,
    bytes: u64,
    longest: usize,
}

impl GossipTap {
    /// Counts a datagram of `length` bytes.
    pub fn on_datagram(&mut self, length: usize) {
        self.datagrams += 1;
        self.bytes += length as u64;
        self.longest = self.longest.max(length);
    }

    /// Reads the gossip of a message; returns the deaths that no earlier message declared.
    pub fn on_gossip(&mut self, gossip: &TappedGossip) -> Vec<ViewObservation> {
        let mut deaths = Vec::new();
        for entry in gossip.entries {
            let controller = entry.id.0;
            if gossip.receiver != Some(controller) {
                self.gossip_seconds.insert(gossip.at as u32);
            }
            let (process, count) = (entry.incarnation.process, entry.incarnation.count);
            let incarnation = MemberIncarnation { controller, process, count };
            if entry.status == Status::Dead && self.declared_dead.insert(incarnation) {
                let (at, by, about) = (gossip.at, gossip.sender, controller);
                deaths.push(ViewObservation::DeclaredDead { at, by, about, process, count });
            }
        }
        deaths
    }

    /// The totals of the whole run, which ends at `at`.
    pub fn totals(&self, at: f64, base_loss: f64) -> [ViewObservation; 2] {
        let seconds = self.gossip_seconds.clone();
        let (datagrams, bytes, longest) = (self.datagrams, self.bytes, self.longest);
        [
            ViewObservation::GossipSeconds { at, seconds },
            ViewObservation::Sent { at, datagrams, bytes, longest, base_loss },
        ]
    }
}
