//! Who lives. Each steward probes one other at a time (SWIM: Das, Gupta, Motivala 2002); one that does not answer
//! is asked for through others, then suspected, then held for dead unless it says otherwise under a higher count.
//! What is learnt rides along with probes, so each steward's cost does not grow with their number. Beside that,
//! views are compared and what differs is sent; the dead are asked again at a falling rate; and a steward that
//! fares badly itself waits longer before it blames anyone (Lifeguard, 2017).
//!
//! A *slow* steward is scored ([`crate::probe_score`]): each steward names the one that stands out, and one that most of
//! the others name is withdrawn: it lives, and bears no slices. Each names one at the most, so at most one can be
//! named by most.
mod join;
mod local;
mod outlier;
mod probe;

use crate::gossip::GossipQueue;
use crate::local_health::LocalHealth;
use crate::member::{Incarnation, Load, Member, Status};
use crate::messages::{
    Destination, MemberChange, Message, OutgoingMessage, Payload, MAX_DIGEST_ENTRIES, MAX_GOSSIP_PER_MESSAGE,
};
use crate::probe_score::{ProbeScore, GAP, LATE_LEAST};
use crate::table::{MemberTable, MergeOutcome, Safeguard};
use crate::{NodeId, Seconds};
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Seconds between two probes of ours.
const PERIOD: Seconds = 0.2;
/// Seconds from a probe until its target is suspected: direct and indirect answers both had time. A helper says
/// after half of it that it had no answer either.
const PROBE_ENDS: Seconds = 0.4;
/// Probes that are pending at once: past it others' are not made, and they learn nothing from us.
const MAX_PENDING_PROBES: usize = 64;
/// Seconds a suspicion stands before it is held for certain, times the logarithm of the stewards' number: long
/// enough for the word to come round and back. Without a second accuser so many times longer, and how many make it
/// certain.
const SUSPECTED_FOR: Seconds = 1.0;
const ALONE_LONGER: f64 = 3.0;
const ACCUSERS: usize = 2;
/// Seconds after a word of its own in which nobody is held for dead because others say so.
const HEARD_LATELY: Seconds = 1.0;
/// Seconds until a dead one is asked again: at first, then doubled each time up to the most.
const ASK_DEAD: Seconds = 0.5;
const ASK_DEAD_MOST: Seconds = 8.0;
/// Seconds between two comparisons that we begin.
const COMPARE_EVERY: Seconds = 0.3;
/// Seconds between two looks for someone to join while nobody is known to live: at first, then half as much more each
/// time up to the most; and between two looks at an address of the file while others live, doubled each time: so that
/// a newcomer meets those whom the one it joined by cannot reach, and halves that have forgotten each other meet at all.
const SEEK: Seconds = 0.3;
const SEEK_MOST: Seconds = 3.0;
const SEEK_SLOWLY: Seconds = 5.0;
const SEEK_SLOWEST: Seconds = 60.0;

/// The settings of membership.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// Addresses that may know someone, tried while nobody is known.
    pub seeds: Vec<SocketAddr>,
    /// Seconds after which one that is gone is forgotten.
    pub forget_after: Seconds,
    /// A safeguard that is left out.
    pub without: Option<Safeguard>,
}

impl Default for MembershipConfig {
    fn default() -> MembershipConfig {
        MembershipConfig { seeds: Vec::new(), forget_after: 600.0, without: None }
    }
}

/// How one other steward is watched.
#[derive(Clone, Debug)]
struct Peer {
    since: Seconds,
    /// When its own word came last, of which process, and the turn that it bore.
    heard_at: Seconds,
    process: u64,
    turn: u64,
    load: Load,
    withdrawn: bool,
    answers: ProbeScore,
    /// Whom it names, and since when.
    names: Option<(NodeId, Seconds)>,
    accusers: BTreeSet<NodeId>,
    ask_at: Seconds,
    ask_span: Seconds,
}

impl Peer {
    fn new(now: Seconds) -> Peer {
        Peer {
            since: now,
            heard_at: f64::NEG_INFINITY,
            process: 0,
            turn: 0,
            load: Load::default(),
            withdrawn: false,
            answers: ProbeScore::since(now),
            names: None,
            accusers: BTreeSet::new(),
            ask_at: now + ASK_DEAD,
            ask_span: ASK_DEAD,
        }
    }
}

/// A probe that has not been answered yet.
#[derive(Clone, Debug)]
struct PendingProbe {
    number: u64,
    to: NodeId,
    at: Seconds,
    /// How often others were asked to probe it too.
    through: u8,
    /// Helpers that were asked, and whether one had a word.
    helpers: usize,
    helped: bool,
    /// For whom it is made, if it is not for us.
    indirect: Option<IndirectProbe>,
}

/// A probe that another steward asked us to make.
#[derive(Clone, Copy, Debug)]
struct IndirectProbe {
    asker: NodeId,
    /// The asker's number for it.
    number: u64,
    /// The asker said that it doubts the other: it wants to hear what that one says of itself.
    doubts: bool,
}

/// A process of our name that was spoken of.
#[derive(Clone, Copy, Debug)]
struct IdentityConflict {
    process: u64,
    address: Option<SocketAddr>,
    at: Seconds,
}

/// One line of a view, for those who look at it.
#[derive(Clone, Debug, PartialEq)]
pub struct ViewEntry {
    pub entry: Member,
    pub load: Load,
    /// Seconds since it stands so, and since its own word came; none has come where this is infinite.
    pub stands_for: Seconds,
    pub heard_ago: Seconds,
    pub withdrawn: bool,
}

/// One steward's view of who lives, and the probes, suspicions and rumours that keep it up to date.
#[derive(Clone, Debug)]
pub struct Membership {
    table: MemberTable,
    config: MembershipConfig,
    peers: BTreeMap<NodeId, Peer>,
    order: Vec<NodeId>,
    pending: Vec<PendingProbe>,
    gossip: GossipQueue,
    health: LocalHealth,
    load: Load,
    began: Seconds,
    number: u64,
    turn: u64,
    probes_at: Seconds,
    ticked_at: Seconds,
    compare_at: Seconds,
    compare_from: NodeId,
    seek_at: Seconds,
    seek_span: Seconds,
    slow_span: Seconds,
    /// A process of our name with a higher number that was spoken of, where it is reached, and since when.
    conflict: Option<IdentityConflict>,
    superseded: bool,
    refused: u64,
    chance: ChaCha8Rng,
}

impl Membership {
    /// `me`: under a process number that is higher than that of any earlier process of ours, as far as is known.
    pub fn new(me: Member, config: MembershipConfig, now: Seconds, seed: u64) -> Membership {
        let chance = ChaCha8Rng::seed_from_u64(seed ^ u64::from(me.about.0));
        let mut gossip = GossipQueue::default();
        gossip.enqueue_front(me.clone());
        Membership {
            table: MemberTable::new(me, config.without),
            config,
            peers: BTreeMap::new(),
            order: Vec::new(),
            pending: Vec::new(),
            gossip,
            health: LocalHealth::default(),
            load: Load::default(),
            began: now,
            number: 0,
            turn: 0,
            probes_at: now,
            ticked_at: now,
            compare_at: now,
            compare_from: NodeId(0),
            seek_at: now,
            seek_span: SEEK,
            slow_span: SEEK_SLOWLY,
            conflict: None,
            superseded: false,
            refused: 0,
            chance,
        }
    }

    /// Others that the installation names count as alive until they prove not to be: a steward that starts must
    /// not take what others hold.
    pub fn expect(&mut self, others: &[NodeId], now: Seconds) {
        let me = self.me();
        for id in others.iter().filter(|id| **id != me) {
            let word = Member::alive(*id, 0, Default::default());
            if let MergeOutcome::Updated { .. } = self.table.learn(&word, false) {
                self.peers.insert(*id, Peer::new(now));
            }
        }
    }

    pub fn me(&self) -> NodeId {
        self.table.me().about
    }

    pub fn entry(&self) -> &Member {
        self.table.me()
    }

    pub fn status(&self, id: NodeId) -> Status {
        self.table.get(id).map_or(Status::Forgotten, |entry| entry.status)
    }

    pub fn address(&self, id: NodeId) -> Option<SocketAddr> {
        self.table.get(id).and_then(|entry| entry.metadata.address)
    }

    /// Another process with our name and a higher number lives: we take no part any more.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Digest of our view: the same for all that hold the same to live.
    pub fn digest(&self) -> u64 {
        self.table.digest()
    }

    /// Words about stewards for whom there was no room.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// It may bear slices, as far as we know; a suspect still does: taking what it holds is no hurry before it is
    /// held for dead, and not possible before its leases end.
    pub fn may_own_slices(&self, id: NodeId) -> bool {
        if self.table.get(id).is_some_and(|entry| entry.metadata.store_unreachable) {
            return false;
        }
        if id == self.me() {
            !self.is_named(id, self.ticked_at)
        } else {
            self.status(id).is_live() && !self.peers.get(&id).is_some_and(|peer| peer.withdrawn)
        }
    }

    pub fn alive(&self) -> usize {
        1 + self.living().count()
    }

    fn living(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.table.others().filter(|entry| entry.status.is_live()).map(|entry| entry.about)
    }

    /// Messages sent so far.
    pub fn sent(&self) -> u64 {
        self.turn
    }

    /// Our view, ourselves included, in the order of ids.
    pub fn view(&self, now: Seconds) -> Vec<ViewEntry> {
        let mine = ViewEntry {
            entry: self.table.me().clone(),
            load: self.load,
            stands_for: now - self.began,
            heard_ago: 0.0,
            withdrawn: !self.may_own_slices(self.me()),
        };
        let others = self.table.others().filter_map(|entry| {
            let peer = self.peers.get(&entry.about)?;
            let (load, withdrawn) = (peer.load, peer.withdrawn);
            let (stands_for, heard_ago) = (now - peer.since, now - peer.heard_at);
            Some(ViewEntry { entry: entry.clone(), load, stands_for, heard_ago, withdrawn })
        });
        let mut all: Vec<ViewEntry> = others.chain([mine]).collect();
        all.sort_by_key(|view| view.entry.about);
        all
    }

    /// When [`Membership::tick`] wants to be called next.
    pub fn next_at(&self) -> Seconds {
        let next = |probe: &PendingProbe| match probe.through {
            0 => LATE_LEAST,
            1 => PROBE_ENDS / 2.0,
            _ => PROBE_ENDS,
        };
        let ends = self.pending.iter().map(|probe| probe.at + next(probe));
        ends.fold(self.probes_at, f64::min).min(self.ticked_at + PERIOD).max(self.ticked_at + 0.01)
    }

    fn patience(&self) -> f64 {
        if self.table.lacks(Safeguard::LocalHealth) {
            1.0
        } else {
            self.health.patience()
        }
    }

    fn message(&mut self, number: u64, ask: Payload, first: Vec<Member>) -> Message {
        let endless = self.table.lacks(Safeguard::GossipLimit);
        // A comparison fills its datagram by itself.
        let room = if matches!(ask, Payload::SyncDigest { .. }) {
            0
        } else {
            MAX_GOSSIP_PER_MESSAGE.saturating_sub(first.len())
        };
        let mut news = first;
        let more = self.gossip.take(room, &news, self.peers.len() + 1, endless);
        news.extend(more);
        self.turn += 1;
        Message {
            from: self.table.me().clone(),
            turn: self.turn,
            load: self.load,
            number,
            ask,
            news,
            names: self.outlier(),
            digest: self.table.digest(),
        }
    }

    fn send(
        &mut self,
        to: Destination,
        number: u64,
        ask: Payload,
        first: Vec<Member>,
        mail: &mut OutgoingMessage,
    ) {
        let message = self.message(number, ask, first);
        mail.push((to, message));
    }

    /// A steward that stood still itself must not blame others for it: what fell into its own pause is forgotten. So
    /// with a clock that was set: nothing is concluded from a span that it jumped over.
    fn wake(&mut self, now: Seconds) {
        let since = now - self.ticked_at;
        if (0.0..=PROBE_ENDS).contains(&since) {
            return;
        }
        if self.table.lacks(Safeguard::LocalHealth) && since > 0.0 {
            return;
        }
        self.health.turned(since.abs());
        self.pending.clear();
        for peer in self.peers.values_mut() {
            (peer.since, peer.heard_at) = (now, peer.heard_at.min(now));
            peer.ask_at = peer.ask_at.min(now + peer.ask_span);
        }
        let soon = now + PERIOD;
        (self.ticked_at, self.probes_at) = (now, self.probes_at.min(soon));
        (self.compare_at, self.seek_at) = (self.compare_at.min(soon), self.seek_at.min(now + SEEK_SLOWEST));
        self.conflict =
            self.conflict.map(|conflict| IdentityConflict { at: conflict.at.min(now), ..conflict });
    }

    /// What is due: probes, those that ended without an answer, suspicions that are over, the dead to be asked, those
    /// to be forgotten, someone to join.
    pub fn tick(&mut self, now: Seconds) -> (OutgoingMessage, Vec<MemberChange>) {
        let (mut mail, mut changed) = (OutgoingMessage::new(), Vec::new());
        if self.superseded {
            (self.ticked_at, self.probes_at) = (now, now + PERIOD);
            return (mail, changed);
        }
        self.wake(now);
        self.health.turned(now - self.ticked_at - PERIOD);
        self.ticked_at = now;
        self.end_probes(now, &mut mail, &mut changed);
        self.end_suspicions(now, &mut changed);
        self.look_for_withdrawn(now, &mut changed);
        self.forget_the_gone(now);
        self.end_conflict(now, &mut changed);
        if now >= self.probes_at {
            self.probes_at = now + PERIOD;
            if let Some(to) = self.next_target() {
                self.send_probe(now, to, None, Vec::new(), &mut mail);
            }
            self.warn_suspect(now, &mut mail);
            self.ask_a_dead(now, &mut mail);
            self.seek(now, &mut mail);
            self.probe_rival(&mut mail);
        }
        (mail, changed)
    }

    fn forget_the_gone(&mut self, now: Seconds) {
        let gone = self.table.others().filter(|entry| !entry.status.is_live()).map(|entry| entry.about);
        let gone =
            gone.filter(|id| self.peers.get(id).is_none_or(|p| now - p.since > self.config.forget_after));
        for id in gone.collect::<Vec<_>>() {
            self.table.forget(id);
            self.gossip.remove(id);
            self.peers.remove(&id);
        }
    }

    /// Takes in a message; what is to be answered.
    pub fn hear(&mut self, now: Seconds, message: &Message) -> (OutgoingMessage, Vec<MemberChange>) {
        let (mut mail, mut changed) = (OutgoingMessage::new(), Vec::new());
        let from = message.from.about;
        if self.superseded {
            return (mail, changed);
        }
        if from == self.me() {
            self.hear_own_name(now, message, &mut mail, &mut changed);
            return (mail, changed);
        }
        self.wake(now);
        match self.take_in(now, &message.from, "it says so itself", &mut changed) {
            MergeOutcome::Stale | MergeOutcome::TableFull => {
                self.hear_old(now, message, &mut mail, &mut changed);
                return (mail, changed);
            }
            _ => {}
        }
        let fresh = self.note_sender(now, message);
        for word in &message.news {
            let why = match word.by {
                Some(by) => format!("steward {} says so, by word of steward {}", by.0, from.0),
                None => format!("by word of steward {}", from.0),
            };
            self.take_in(now, word, &why, &mut changed);
        }
        self.answer(now, message, &mut mail, &mut changed);
        if fresh && message.digest != self.table.digest() && now >= self.compare_at {
            self.begin_compare(now, from, &mut mail);
        }
        (mail, changed)
    }

    /// A process that was followed or forgotten is told, at the address that it gives; what it says of us alone
    /// counts. Being told is not answered: two that have forgotten each other would tell each other so for ever.
    fn hear_old(
        &mut self,
        now: Seconds,
        message: &Message,
        mail: &mut OutgoingMessage,
        changed: &mut Vec<MemberChange>,
    ) {
        let (old, me) = (&message.from, self.me());
        for word in message.news.iter().filter(|word| word.about == me) {
            self.take_in(now, word, "by word of one that was forgotten", changed);
        }
        let Some(address) = old.metadata.address.filter(|_| message.ask != Payload::Gossip) else { return };
        let word = self.table.correction_for(old);
        self.send(Destination::Address(address), 0, Payload::Gossip, vec![word], mail);
    }

    /// What only the sender's latest message may tell; one that comes late or again tells nothing of it.
    fn note_sender(&mut self, now: Seconds, message: &Message) -> bool {
        let incarnation = message.from.incarnation;
        let known = self
            .table
            .get(message.from.about)
            .is_some_and(|entry| entry.incarnation.process == incarnation.process);
        let Some(peer) = self.peers.get_mut(&message.from.about) else { return false };
        if known && peer.process != incarnation.process {
            // Another process: its messages are counted anew.
            (peer.process, peer.turn) = (incarnation.process, 0);
        }
        let fresh = known && message.turn > peer.turn;
        if fresh {
            (peer.turn, peer.heard_at, peer.load) = (message.turn, now, message.load);
            peer.names = message.names.map(|named| (named, now));
        }
        fresh
    }

    fn answer(
        &mut self,
        now: Seconds,
        message: &Message,
        mail: &mut OutgoingMessage,
        changed: &mut Vec<MemberChange>,
    ) {
        let from = message.from.about;
        match &message.ask {
            Payload::Probe => {
                // One that we hold for dead is told, so that it can say otherwise.
                let held = self.table.get(from).filter(|entry| entry.status != Status::Alive);
                let doubts = held.filter(|entry| entry.incarnation == message.from.incarnation).cloned();
                let first = doubts.into_iter().collect();
                self.send(Destination::Node(from), message.number, Payload::Ack, first, mail);
            }
            Payload::IndirectProbe(target)
                if self.peers.contains_key(target) && self.pending.len() < MAX_PENDING_PROBES =>
            {
                // A suspect is told, so that its own word comes back by us: it may have no other way.
                let word = self.table.get(*target).filter(|entry| entry.status == Status::Suspect);
                let first = word.cloned().into_iter().collect();
                let doubts = message.news.iter().any(|word| word.about == *target);
                let indirect = IndirectProbe { asker: from, number: message.number, doubts };
                self.send_probe(now, *target, Some(indirect), first, mail);
            }
            Payload::IndirectProbe(_) | Payload::Gossip => {}
            Payload::Ack => self.answered(now, from, message.number, mail, changed),
            Payload::IndirectAck(target) => {
                // It lives, though not for us: badly, but not silent.
                let probe = self
                    .pending
                    .iter()
                    .position(|probe| probe.number == message.number && probe.to == *target);
                if let Some(place) = probe {
                    self.pending.remove(place);
                    self.health.did_well();
                    if let Some(peer) = self.peers.get_mut(target) {
                        peer.answers.judge(now, true);
                    }
                }
            }
            Payload::Nack(target) => {
                let probe = self
                    .pending
                    .iter_mut()
                    .find(|probe| probe.number == message.number && probe.to == *target);
                probe.into_iter().for_each(|probe| probe.helped = true);
            }
            Payload::SyncDigest { from: first, to, entries: lines } => {
                let (better, want) = self.table.compare(*first, *to, lines);
                if !better.is_empty() || !want.is_empty() {
                    self.send(Destination::Node(from), 0, Payload::SyncRequest(want), better, mail);
                }
            }
            Payload::SyncRequest(ids) => {
                let known: Vec<Member> = ids.iter().filter_map(|id| self.table.get(*id).cloned()).collect();
                for part in
                    known.chunks(MAX_GOSSIP_PER_MESSAGE).take(MAX_DIGEST_ENTRIES / MAX_GOSSIP_PER_MESSAGE)
                {
                    self.send(Destination::Node(from), 0, Payload::Gossip, part.to_vec(), mail);
                }
            }
        }
    }

    fn begin_compare(&mut self, now: Seconds, with: NodeId, mail: &mut OutgoingMessage) {
        if self.table.lacks(Safeguard::AntiEntropy) {
            return;
        }
        self.compare_at = now + COMPARE_EVERY;
        let from = self.compare_from;
        let (lines, to, next) = self.table.page(from);
        self.compare_from = next;
        self.send(
            Destination::Node(with),
            0,
            Payload::SyncDigest { from, to, entries: lines },
            Vec::new(),
            mail,
        );
    }

    /// Takes in one word, whoever brought it.
    fn take_in(
        &mut self,
        now: Seconds,
        word: &Member,
        why: &str,
        changed: &mut Vec<MemberChange>,
    ) -> MergeOutcome {
        let protects = !self.table.lacks(Safeguard::LocalHealth);
        let heard = self.peers.get(&word.about).map_or(f64::NEG_INFINITY, |peer| peer.heard_at);
        let heard_lately = protects && word.by != Some(self.me()) && now - heard < HEARD_LATELY;
        let learnt = self.table.learn(word, heard_lately);
        match &learnt {
            MergeOutcome::Updated { was, metadata_changed } => {
                self.follow(now, word, *was, *metadata_changed, why, changed)
            }
            MergeOutcome::Refuted => {
                self.health.was_suspected();
                self.gossip.enqueue_front(self.table.me().clone());
            }
            MergeOutcome::IdentityConflict => self.note_conflict(now, word),
            MergeOutcome::TableFull => self.refused += 1,
            MergeOutcome::Unchanged => self.answer_to_stale(word),
            MergeOutcome::Stale => {}
        }
        learnt
    }

    fn follow(
        &mut self,
        now: Seconds,
        word: &Member,
        was: Option<Status>,
        metadata_changed: bool,
        why: &str,
        changed: &mut Vec<MemberChange>,
    ) {
        let Some(held) = self.table.get(word.about).cloned() else { return };
        let peer = self.peers.entry(word.about).or_insert_with(|| Peer::new(now));
        if was.is_some_and(|was| was > Status::Suspect) && held.status == Status::Alive {
            peer.answers.reset();
        }
        if was != Some(held.status) {
            peer.since = now;
            (peer.ask_span, peer.ask_at) = (ASK_DEAD, now + ASK_DEAD);
        }
        if metadata_changed || held.status == Status::Alive {
            peer.accusers.clear();
        }
        if held.status == Status::Suspect {
            peer.accusers.extend(word.by);
        }
        if was != Some(held.status) || metadata_changed {
            let (about, incarnation, status, withdrawn) =
                (held.about, held.incarnation, held.status, peer.withdrawn);
            changed.push(MemberChange { about, incarnation, status, withdrawn, why: why.to_owned() });
        }
        self.gossip.tell(held);
    }

    /// Whoever tells that someone is missing may not have heard what that one has said since: it is told again. A word
    /// that is not out of date may be one more accuser's.
    fn answer_to_stale(&mut self, word: &Member) {
        let stale = |held: &&Member| {
            held.incarnation > word.incarnation
                && held.status == Status::Alive
                && word.status != Status::Alive
        };
        match self.table.get(word.about).filter(stale).cloned() {
            Some(held) => self.gossip.enqueue_front(held),
            None => self.count_accuser(word),
        }
    }

    /// One more that finds a suspect missing makes the suspicion shorter; it is passed on, a few times at the most.
    fn count_accuser(&mut self, word: &Member) {
        let Some(held) = self.table.get(word.about) else { return };
        let same = held.status == Status::Suspect
            && word.status == Status::Suspect
            && held.incarnation == word.incarnation;
        let Some(peer) = self.peers.get_mut(&word.about).filter(|_| same) else { return };
        if let Some(by) = word.by.filter(|_| peer.accusers.len() <= ACCUSERS) {
            if peer.accusers.insert(by) {
                self.gossip.tell(word.clone());
            }
        }
    }

    /// Our incarnation, for the log.
    pub fn incarnation(&self) -> Incarnation {
        self.table.me().incarnation
    }

    /// Words that wait to be passed on.
    pub fn gossip(&self) -> usize {
        self.gossip.len()
    }
}

#[cfg(test)]
mod tests;
