//! The baseline protocol: each member sends heartbeats to every address that it knows, and considers a member dead when
//! none has arrived from it within a fixed timeout. It is run with the same faults as SWIM, so that the two can be
//! compared.
use railhub_membership::member::{Load, Member, Status};
use railhub_membership::messages::{Destination, Message, OutgoingMessage, Payload};
use railhub_membership::view::ViewEntry;
use railhub_membership::NodeId;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Seconds between two heartbeats.
const HEARTBEAT_INTERVAL: f64 = 0.5;
/// Seconds without a heartbeat after which a member is considered dead.
const SILENCE_TIMEOUT: f64 = 2.0;

/// Another member, with the state from its last heartbeat.
struct Peer {
    member: Member,
    last_seen_at: f64,
}

/// A member of a cluster that uses the baseline protocol.
pub struct Heartbeat {
    local: Member,
    seeds: Vec<SocketAddr>,
    peers: BTreeMap<NodeId, Peer>,
    next_heartbeat_at: f64,
    last_sequence: u64,
}

impl Heartbeat {
    /// A member that starts with the addresses of some other members.
    pub fn new(local: Member, seeds: Vec<SocketAddr>, now: f64) -> Heartbeat {
        Heartbeat { local, seeds, peers: BTreeMap::new(), next_heartbeat_at: now, last_sequence: 0 }
    }

    /// The time at which [`Heartbeat::tick`] must be called next.
    pub fn next_tick_at(&self) -> f64 {
        self.next_heartbeat_at
    }

    /// The process number of this member.
    pub fn process(&self) -> u64 {
        self.local.incarnation.process
    }

    /// The address of another member, if it is known.
    pub fn address(&self, id: NodeId) -> Option<SocketAddr> {
        self.peers.get(&id).and_then(|peer| peer.member.metadata.address)
    }

    fn heartbeats(&mut self) -> Vec<OutgoingMessage> {
        self.last_sequence += 1;
        let message = Message {
            sender: self.local.clone(),
            sequence: self.last_sequence,
            load: Load::default(),
            probe_number: 0,
            payload: Payload::Gossip,
            // Heartbeats carry no gossip: a new member learns of the others from their heartbeats.
            gossip: Vec::new(),
            outlier: None,
            view_digest: 0,
        };
        let known = self.peers.values().filter_map(|peer| peer.member.metadata.address);
        let receivers: BTreeSet<SocketAddr> = known.chain(self.seeds.iter().copied()).collect();
        let to_message =
            |address| OutgoingMessage { to: Destination::Address(address), message: message.clone() };
        receivers.into_iter().map(to_message).collect()
    }

    /// Returns heartbeats to all known addresses if they are due.
    pub fn tick(&mut self, now: f64) -> Vec<OutgoingMessage> {
        if now < self.next_heartbeat_at {
            return Vec::new();
        }
        self.next_heartbeat_at = now + HEARTBEAT_INTERVAL;
        self.heartbeats()
    }

    /// Receives a heartbeat.
    pub fn on_message(&mut self, now: f64, message: &Message) {
        let sender = &message.sender;
        if sender.id == self.local.id {
            return;
        }
        let is_older = self
            .peers
            .get(&sender.id)
            .is_some_and(|known| known.member.incarnation.process > sender.incarnation.process);
        if !is_older {
            self.peers.insert(sender.id, Peer { member: sender.clone(), last_seen_at: now });
        }
    }

    /// Leaves the cluster; returns the messages that announce it.
    pub fn leave(&mut self) -> Vec<OutgoingMessage> {
        self.local.status = Status::Left;
        self.heartbeats()
    }

    /// The view of all members, including this one, ordered by id.
    pub fn view(&self, now: f64) -> Vec<ViewEntry> {
        let peers = self.peers.values().map(|peer| view_entry(&peer.member, now - peer.last_seen_at));
        let mut entries: Vec<ViewEntry> = peers.chain([view_entry(&self.local, 0.0)]).collect();
        entries.sort_by_key(|entry| entry.member.id);
        entries
    }
}

fn view_entry(member: &Member, last_seen_ago: f64) -> ViewEntry {
    let is_live = last_seen_ago <= SILENCE_TIMEOUT && member.status != Status::Left;
    let status = if is_live { Status::Alive } else { Status::Dead };
    let member = Member { status, ..member.clone() };
    ViewEntry { member, load: Load::default(), status_age: 0.0, last_seen_ago, ejected: false }
}
