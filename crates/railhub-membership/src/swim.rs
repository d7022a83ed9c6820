//! Who lives. Each steward probes one other at a time (SWIM: Das, Gupta, Motivala 2002); one that does not answer
//! is asked for through others, then suspected, then held for dead unless it says otherwise under a higher
//! incarnation. What is learnt rides along with probes, so each steward's cost does not grow with their number.
//!
//! A *slow* steward answers, only late: suspicion never gets to its end. So late and missing answers are also
//! scored as the project scores hosts (up at once, down step by step), each steward names the one that stands
//! out, and one that most of the others name is withdrawn: it lives, and bears no slices. Each names one at the
//! most, so at most one can be named by most.
use crate::{Seconds, StewardId};
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Seconds between two probes of ours.
const PERIOD: Seconds = 0.2;
/// Times the usual time of an answer, and seconds at the least, after which a direct probe is asked for through
/// others. Loopback and one machine room answer in a millisecond, a busy steward in some ten.
const LATE_TIMES: f64 = 8.0;
const LATE_LEAST: Seconds = 0.08;
/// Seconds from a probe until its target is suspected: direct and indirect answers both had time.
const PROBE_ENDS: Seconds = 0.4;
/// Probes that are out at once: past it others' are not made, and they learn nothing from us.
const OUT_MOST: usize = 64;
/// Others that are asked to probe.
const THROUGH: usize = 3;
/// Seconds a suspicion stands before it is held for certain, times the logarithm of the stewards' number: long
/// enough for the word to come round and back.
const SUSPECTED_FOR: Seconds = 1.0;
/// Words of news a probe carries, and times that each is passed on, times the logarithm of the number.
const NEWS_MOST: usize = 8;
const PASSED_ON: f64 = 3.0;
/// Seconds after which an answer time counts for 1/e in the usual one.
const MEMORY: Seconds = 10.0;
/// Score of one that does badly at once, steps down a second while it does well, and how far it must stand above
/// the next to be named: the design's figures for hosts.
const SCORE_MOST: f64 = 100.0;
const SCORE_FALLS: f64 = 8.0;
const GAP: f64 = 30.0;
/// Share of probes that end late or not at all from which on one does badly.
const BADLY: f64 = 0.3;
/// Probes that this share is taken over: decaying, so that one lost message does not make a slow steward.
const PROBES: f64 = 6.0;
/// Seconds that another's word on who stands out counts.
const NAMED_FOR: Seconds = 5.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Standing {
    Alive,
    Suspect,
    /// It said that it goes.
    Left,
    Dead,
}

/// What is told of a steward. Of two words under one incarnation the worse holds; a higher one overrides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    pub about: StewardId,
    pub incarnation: u64,
    pub standing: Standing,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Ask {
    Probe,
    /// Probe another for me.
    ProbeFor(StewardId),
    Answer,
    /// The one I was asked to probe has answered.
    AnswerOf(StewardId),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    pub number: u64,
    pub ask: Ask,
    pub news: Vec<News>,
    /// Whom the sender finds to stand out.
    pub names: Option<StewardId>,
    /// The sender hands its slices over and takes none.
    pub drains: bool,
}

/// Something that operators and the sharing of slices want to know.
#[derive(Clone, Debug, PartialEq)]
pub struct Changed {
    pub about: StewardId,
    pub standing: Standing,
    pub withdrawn: bool,
    pub why: String,
}

struct Peer {
    incarnation: u64,
    standing: Standing,
    since: Seconds,
    withdrawn: bool,
    drains: bool,
    usual: Usual,
    /// Share of probes that went badly, and the score that it drives.
    badly: f64,
    score: f64,
    scored_at: Seconds,
    /// Whom it names, and since when.
    names: Option<(StewardId, Seconds)>,
}

/// The usual time of an answer: decaying sums.
#[derive(Clone, Copy, Default)]
struct Usual {
    count: f64,
    time: f64,
    at: Seconds,
}

impl Usual {
    fn add(&mut self, now: Seconds, time: Seconds) {
        let left = (-(now - self.at).max(0.0) / MEMORY).exp();
        (self.count, self.time, self.at) = (self.count * left + 1.0, self.time * left + time, now);
    }

    fn late_after(&self) -> Seconds {
        let mean = if self.count > 0.0 { self.time / self.count } else { 0.0 };
        (mean * LATE_TIMES).clamp(LATE_LEAST, PROBE_ENDS / 2.0)
    }
}

/// A probe that is out.
struct Out {
    number: u64,
    to: StewardId,
    at: Seconds,
    through: bool,
    /// On whose behalf, with their number.
    behalf: Option<(StewardId, u64)>,
}

pub struct Members {
    me: StewardId,
    incarnation: u64,
    peers: BTreeMap<StewardId, Peer>,
    order: Vec<StewardId>,
    out: Vec<Out>,
    news: VecDeque<(News, u32)>,
    number: u64,
    probes_at: Seconds,
    ticked_at: Seconds,
    drains: bool,
    chance: ChaCha8Rng,
    sent: u64,
}

type Mail = Vec<(StewardId, Message)>;

impl Members {
    /// `incarnation`: higher than that of any earlier process of ours. Others count as alive until they prove
    /// not to be: a steward that starts must not take what others hold.
    pub fn new(me: StewardId, others: &[StewardId], incarnation: u64, now: Seconds, seed: u64) -> Members {
        let peer = || Peer {
            incarnation: 0,
            standing: Standing::Alive,
            since: now,
            withdrawn: false,
            drains: false,
            usual: Usual::default(),
            badly: 0.0,
            score: 0.0,
            scored_at: now,
            names: None,
        };
        let news = VecDeque::from([(News { about: me, incarnation, standing: Standing::Alive }, 0)]);
        Members {
            me,
            incarnation,
            peers: others.iter().filter(|id| **id != me).map(|id| (*id, peer())).collect(),
            order: Vec::new(),
            out: Vec::new(),
            news,
            number: 0,
            probes_at: now,
            ticked_at: now,
            drains: false,
            chance: ChaCha8Rng::seed_from_u64(seed ^ u64::from(me.0)),
            sent: 0,
        }
    }

    pub fn standing(&self, id: StewardId) -> Standing {
        self.peers.get(&id).map_or(Standing::Alive, |peer| peer.standing)
    }

    /// It may bear slices, as far as we know; a suspect still does: taking what it holds is no hurry before it is
    /// held for dead, and not possible before its leases end.
    pub fn may_bear(&self, id: StewardId) -> bool {
        let stands =
            |peer: &Peer| matches!(peer.standing, Standing::Alive | Standing::Suspect) && !peer.withdrawn;
        if id == self.me {
            !self.is_named(id, self.ticked_at)
        } else {
            self.peers.get(&id).is_some_and(stands)
        }
    }

    pub fn alive(&self) -> usize {
        let lives = |peer: &&Peer| matches!(peer.standing, Standing::Alive | Standing::Suspect);
        1 + self.peers.values().filter(lives).count()
    }

    /// We hand our slices over; the others learn of it with the next message to each.
    pub fn drain(&mut self) {
        self.drains = true;
    }

    /// It hands its slices over, and says so.
    pub fn drains(&self, id: StewardId) -> bool {
        (id == self.me && self.drains) || self.peers.get(&id).is_some_and(|peer| peer.drains)
    }

    /// Messages sent so far.
    pub fn sent(&self) -> u64 {
        self.sent
    }

    /// When [`Members::tick`] wants to be called next.
    pub fn next_at(&self) -> Seconds {
        let ends = self.out.iter().map(|out| out.at + if out.through { PROBE_ENDS } else { LATE_LEAST });
        ends.fold(self.probes_at, f64::min).min(self.ticked_at + PERIOD).max(self.ticked_at + 0.01)
    }

    /// News that goes before all other. Of each steward one word waits, the latest: whoever asks, and however
    /// often, the list has no more words than there are stewards.
    fn tell_first(&mut self, news: News) {
        self.news.retain(|(known, _)| known.about != news.about);
        self.news.push_front((news, 0));
    }

    fn message(&mut self, number: u64, ask: Ask, now: Seconds) -> Message {
        let limit = (PASSED_ON * ((self.peers.len() + 1) as f64).ln().max(1.0)).ceil() as u32;
        let mut news = Vec::new();
        for _ in 0..self.news.len().min(NEWS_MOST) {
            if let Some((one, passed)) = self.news.pop_front() {
                news.push(one);
                if passed + 1 < limit {
                    self.news.push_back((one, passed + 1));
                }
            }
        }
        self.sent += 1;
        Message { number, ask, news, names: self.outlier(now), drains: self.drains }
    }

    /// What is due: probes, those that ended without an answer, suspicions that are over. A steward that stood
    /// still itself must not blame others for it: what fell into its own pause is forgotten.
    pub fn tick(&mut self, now: Seconds) -> (Mail, Vec<Changed>) {
        let stood_still = now - self.ticked_at > PROBE_ENDS;
        self.ticked_at = now;
        let (mut mail, mut changed) = (Mail::new(), Vec::new());
        if stood_still {
            self.out.clear();
            self.peers.values_mut().for_each(|peer| peer.since = peer.since.max(now - SUSPECTED_FOR / 2.0));
        }
        self.end_probes(now, &mut mail, &mut changed);
        self.end_suspicions(now, &mut changed);
        self.look_for_withdrawn(now, &mut changed);
        if now >= self.probes_at {
            self.probes_at = now + PERIOD;
            if let Some(to) = self.next_target() {
                self.send_probe(now, to, None, &mut mail);
            }
            self.warn_suspect(now, &mut mail);
        }
        (mail, changed)
    }

    fn send_probe(&mut self, now: Seconds, to: StewardId, behalf: Option<(StewardId, u64)>, mail: &mut Mail) {
        self.number += 1;
        let number = self.number;
        let message = self.message(number, Ask::Probe, now);
        mail.push((to, message));
        self.out.push(Out { number, to, at: now, through: behalf.is_some(), behalf });
    }

    /// A suspect is asked once more each time, and told what it is suspected of: on a net that loses messages its
    /// own word must have more than one way back.
    fn warn_suspect(&mut self, now: Seconds, mail: &mut Mail) {
        let suspects = self.peers.iter().filter(|(_, peer)| peer.standing == Standing::Suspect);
        let suspects: Vec<News> = suspects
            .map(|(id, peer)| News { about: *id, incarnation: peer.incarnation, standing: peer.standing })
            .collect();
        if let Some(news) = suspects.choose(&mut self.chance).copied() {
            self.tell_first(news);
            self.send_probe(now, news.about, None, mail);
        }
    }

    /// Each other in turn, in an order that is shuffled anew each time: a dead one is met within two rounds. The
    /// dead are asked too, one round in a while, so that two halves of a split find each other again.
    fn next_target(&mut self) -> Option<StewardId> {
        loop {
            if self.order.is_empty() {
                self.order = self.peers.keys().copied().collect();
                self.order.shuffle(&mut self.chance);
                if self.order.is_empty() {
                    return None;
                }
            }
            let id = self.order.pop()?;
            let gone = matches!(self.standing(id), Standing::Dead | Standing::Left);
            if !gone || self.chance.next_u32().is_multiple_of(4) || self.alive() == 1 {
                return Some(id);
            }
        }
    }

    fn end_probes(&mut self, now: Seconds, mail: &mut Mail, changed: &mut Vec<Changed>) {
        let late: Vec<(u64, StewardId)> = (self.out.iter())
            .filter(|out| !out.through && now - out.at >= self.peers[&out.to].usual.late_after())
            .map(|out| (out.number, out.to))
            .collect();
        for (number, to) in late {
            if let Some(out) = self.out.iter_mut().find(|out| out.number == number) {
                out.through = true;
            }
            let mut others: Vec<StewardId> = self.peers.keys().copied().collect();
            others.retain(|id| *id != to && self.standing(*id) == Standing::Alive);
            others.shuffle(&mut self.chance);
            for other in others.into_iter().take(THROUGH) {
                let message = self.message(number, Ask::ProbeFor(to), now);
                mail.push((other, message));
            }
        }
        let is_over = |out: &Out| now - out.at >= PROBE_ENDS;
        let over: Vec<(StewardId, bool)> =
            self.out.iter().filter(|out| is_over(out)).map(|out| (out.to, out.behalf.is_some())).collect();
        self.out.retain(|out| !is_over(out));
        for (to, on_behalf) in over {
            if !on_behalf {
                self.score(now, to, true);
                self.suspect(now, to, changed);
            }
        }
    }

    fn suspect(&mut self, now: Seconds, about: StewardId, changed: &mut Vec<Changed>) {
        let Some(peer) = self.peers.get(&about).filter(|peer| peer.standing == Standing::Alive) else {
            return;
        };
        let news = News { about, incarnation: peer.incarnation, standing: Standing::Suspect };
        self.learn(now, news, "no answer, neither directly nor through others", changed);
    }

    fn end_suspicions(&mut self, now: Seconds, changed: &mut Vec<Changed>) {
        let stands = SUSPECTED_FOR * ((self.peers.len() + 1) as f64).ln().max(1.0);
        let over =
            self.peers.iter().filter(|(_, p)| p.standing == Standing::Suspect && now - p.since >= stands);
        let over: Vec<News> = over
            .map(|(id, peer)| News { about: *id, incarnation: peer.incarnation, standing: Standing::Dead })
            .collect();
        for news in over {
            self.learn(now, news, "suspected for long, and it said nothing", changed);
        }
    }

    /// Takes in a message; what is to be answered.
    pub fn hear(&mut self, now: Seconds, from: StewardId, message: &Message) -> (Mail, Vec<Changed>) {
        let (mut mail, mut changed) = (Mail::new(), Vec::new());
        if !self.peers.contains_key(&from) {
            return (mail, changed);
        }
        for news in &message.news {
            self.learn(now, *news, "others say so", &mut changed);
        }
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.names = message.names.map(|named| (named, now));
            if std::mem::replace(&mut peer.drains, message.drains) != message.drains {
                let why = if message.drains { "it is drained" } else { "it is drained no more" };
                let (about, standing, withdrawn) = (from, peer.standing, peer.withdrawn);
                changed.push(Changed { about, standing, withdrawn, why: why.into() });
            }
        }
        match &message.ask {
            Ask::Probe => {
                // One that we hold for dead is told, so that it can say otherwise.
                let doubted = self.peers.get(&from).filter(|peer| peer.standing != Standing::Alive);
                if let Some(peer) = doubted {
                    let news = News { about: from, incarnation: peer.incarnation, standing: peer.standing };
                    self.tell_first(news);
                }
                let answer = self.message(message.number, Ask::Answer, now);
                mail.push((from, answer));
            }
            Ask::ProbeFor(target) if self.peers.contains_key(target) && self.out.len() < OUT_MOST => {
                self.send_probe(now, *target, Some((from, message.number)), &mut mail);
            }
            Ask::ProbeFor(_) => {}
            Ask::Answer => self.answered(now, from, message.number, &mut mail, &mut changed),
            Ask::AnswerOf(target) => {
                // It lives, though not for us: badly, but not silent.
                let out = self.out.iter().position(|out| out.number == message.number && out.to == *target);
                if let Some(place) = out {
                    self.out.remove(place);
                    self.score(now, *target, true);
                }
            }
        }
        (mail, changed)
    }

    fn answered(
        &mut self,
        now: Seconds,
        from: StewardId,
        number: u64,
        mail: &mut Mail,
        changed: &mut Vec<Changed>,
    ) {
        let Some(place) = self.out.iter().position(|out| out.number == number && out.to == from) else {
            return;
        };
        let out = self.out.remove(place);
        if let Some((asker, number)) = out.behalf {
            let answer = self.message(number, Ask::AnswerOf(from), now);
            mail.push((asker, answer));
            return;
        }
        let peer = self.peers.get_mut(&from).expect("probes go to peers");
        let was_late = now - out.at > peer.usual.late_after();
        peer.usual.add(now, (now - out.at).min(PROBE_ENDS));
        self.score(now, from, was_late);
        self.look_for_withdrawn(now, changed);
    }

    /// Up at once for one that does badly, down step by step while it does well.
    fn score(&mut self, now: Seconds, id: StewardId, badly: bool) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        let passed = (now - std::mem::replace(&mut peer.scored_at, now)).max(0.0);
        peer.badly += (f64::from(u8::from(badly)) - peer.badly) / PROBES;
        peer.score = match peer.badly > BADLY {
            true => SCORE_MOST,
            false => (peer.score - passed * SCORE_FALLS).max(0.0),
        };
    }

    /// The one of those that live whose score stands out, if one does.
    fn outlier(&self, _now: Seconds) -> Option<StewardId> {
        let lives = self.peers.iter().filter(|(_, peer)| peer.standing == Standing::Alive);
        let mut scores: Vec<(f64, StewardId)> = lives.map(|(id, peer)| (peer.score, *id)).collect();
        scores.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let next = scores.get(1).map_or(0.0, |score| score.0);
        scores.first().filter(|worst| worst.0 > next + GAP).map(|worst| worst.1)
    }

    /// Most of those that live name it. Two cannot judge each other: with fewer than three nobody is withdrawn.
    fn is_named(&self, id: StewardId, now: Seconds) -> bool {
        let alive = self.alive();
        let fresh = |peer: &&Peer| {
            peer.standing == Standing::Alive
                && peer.names.is_some_and(|(named, at)| named == id && now - at <= NAMED_FOR)
        };
        let ours = usize::from(id != self.me && self.outlier(now) == Some(id));
        let names = ours + self.peers.values().filter(fresh).count();
        alive >= 3 && names * 2 > alive
    }

    fn look_for_withdrawn(&mut self, now: Seconds, changed: &mut Vec<Changed>) {
        let ids: Vec<StewardId> = self.peers.keys().copied().collect();
        for id in ids {
            let named = self.is_named(id, now);
            let peer = self.peers.get_mut(&id).expect("listed above");
            if peer.withdrawn != named {
                peer.withdrawn = named;
                let why = if named { "most others find it late" } else { "it answers in time again" };
                changed.push(Changed {
                    about: id,
                    standing: peer.standing,
                    withdrawn: named,
                    why: why.into(),
                });
            }
        }
    }

    fn learn(&mut self, now: Seconds, news: News, why: &str, changed: &mut Vec<Changed>) {
        if news.about == self.me {
            // Whoever says that we are not alive is told otherwise, also when we have said so before: what we
            // said then did not reach it.
            if news.standing != Standing::Alive {
                self.incarnation = self.incarnation.max(news.incarnation + 1);
                let alive = News { about: self.me, incarnation: self.incarnation, standing: Standing::Alive };
                self.tell_first(alive);
            }
            return;
        }
        let Some(peer) = self.peers.get_mut(&news.about) else { return };
        let worse = news.incarnation == peer.incarnation && news.standing > peer.standing;
        if news.incarnation <= peer.incarnation && !worse {
            return;
        }
        let was = peer.standing;
        if was > Standing::Suspect && news.standing == Standing::Alive {
            // That it was away has been held against it already.
            (peer.score, peer.badly) = (0.0, 0.0);
        }
        (peer.incarnation, peer.standing, peer.since) = (news.incarnation, news.standing, now);
        if was != news.standing {
            let (about, standing, withdrawn) = (news.about, news.standing, peer.withdrawn);
            changed.push(Changed { about, standing, withdrawn, why: why.to_owned() });
        }
        self.news.retain(|(known, _)| known.about != news.about);
        self.news.push_back((news, 0));
    }

    /// Tells the others that we go.
    pub fn leave(&mut self, now: Seconds) -> Mail {
        let news = News { about: self.me, incarnation: self.incarnation, standing: Standing::Left };
        self.tell_first(news);
        let ids: Vec<StewardId> = self.peers.keys().copied().collect();
        ids.into_iter()
            .map(|id| {
                self.number += 1;
                let number = self.number;
                let mut message = self.message(number, Ask::Probe, now);
                if !message.news.contains(&news) {
                    message.news.push(news);
                }
                (id, message)
            })
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn flooded(ask: Ask) -> Members {
        let ids: Vec<StewardId> = (0..5).map(StewardId).collect();
        let mut members = Members::new(ids[0], &ids, 1, 0.0, 1);
        let dead = News { about: ids[1], incarnation: 0, standing: Standing::Dead };
        for number in 0..10_000 {
            let message = Message { number, ask: ask.clone(), news: vec![dead], names: None, drains: false };
            members.hear(0.1, ids[1], &message);
        }
        members
    }

    #[test]
    fn one_that_asks_without_end_makes_nothing_grow() {
        assert!(flooded(Ask::Probe).news.len() <= 5);
        assert!(flooded(Ask::ProbeFor(StewardId(2))).out.len() <= OUT_MOST);
    }
}
