//! The plain baseline: each steward sends a word to all whose addresses it knows, and holds for gone whoever was silent
//! for one fixed time. It is played in the same runs as the view, so that both are weighed by the same faults.
use railhub_membership::member::{Load, Member, Status};
use railhub_membership::messages::{Destination, Message, OutgoingMessage, Payload};
use railhub_membership::view::ViewEntry;
use railhub_membership::NodeId;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Seconds between two words, and of silence until one is gone.
const BEAT: f64 = 0.5;
const SILENT_FOR: f64 = 2.0;

pub struct Heartbeat {
    me: Member,
    seeds: Vec<SocketAddr>,
    heard: BTreeMap<NodeId, (Member, f64)>,
    beat_at: f64,
    turn: u64,
}

impl Heartbeat {
    pub fn new(me: Member, seeds: Vec<SocketAddr>, now: f64) -> Heartbeat {
        Heartbeat { me, seeds, heard: BTreeMap::new(), beat_at: now, turn: 0 }
    }

    pub fn next_at(&self) -> f64 {
        self.beat_at
    }

    pub fn process(&self) -> u64 {
        self.me.incarnation.process
    }

    pub fn address(&self, id: NodeId) -> Option<SocketAddr> {
        self.heard.get(&id).and_then(|(entry, _)| entry.metadata.address)
    }

    fn mail(&mut self, payload: Payload) -> Vec<OutgoingMessage> {
        self.turn += 1;
        let message = Message {
            sender: self.me.clone(),
            sequence: self.turn,
            load: Load::default(),
            probe_number: 0,
            payload,
            // Newcomers learn of the others from whoever hears them.
            gossip: Vec::new(),
            outlier: None,
            view_digest: 0,
        };
        let known = self.heard.values().filter_map(|(entry, _)| entry.metadata.address);
        let to: std::collections::BTreeSet<SocketAddr> = known.chain(self.seeds.iter().copied()).collect();
        to.into_iter()
            .map(|address| OutgoingMessage { to: Destination::Address(address), message: message.clone() })
            .collect()
    }

    pub fn tick(&mut self, now: f64) -> Vec<OutgoingMessage> {
        if now < self.beat_at {
            return Vec::new();
        }
        self.beat_at = now + BEAT;
        self.mail(Payload::Gossip)
    }

    pub fn hear(&mut self, now: f64, message: &Message) {
        let from = &message.sender;
        if from.id == self.me.id {
            return;
        }
        let known = self.heard.get(&from.id);
        if known.is_none_or(|(entry, _)| entry.incarnation.process <= from.incarnation.process) {
            self.heard.insert(from.id, (from.clone(), now));
        }
    }

    pub fn leave(&mut self) -> Vec<OutgoingMessage> {
        self.me.status = Status::Left;
        self.mail(Payload::Gossip)
    }

    pub fn shown(&self, now: f64) -> Vec<ViewEntry> {
        let show = |entry: &Member, last_seen_ago: f64| {
            let is_live = last_seen_ago <= SILENT_FOR && entry.status != Status::Left;
            let status = if is_live { Status::Alive } else { Status::Dead };
            let member = Member { status, ..entry.clone() };
            ViewEntry { member, load: Load::default(), status_age: 0.0, last_seen_ago, ejected: false }
        };
        let others = self.heard.values().map(|(entry, at)| show(entry, now - at));
        let mut all: Vec<ViewEntry> = others.chain([show(&self.me, 0.0)]).collect();
        all.sort_by_key(|shown| shown.member.id);
        all
    }
}
