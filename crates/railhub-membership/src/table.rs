//! What one steward holds of all: the merge of entries, free of time. Any order and any repetition of the same
//! words ends in the same table, but for words about ourselves, which are answered by a higher count.
use crate::entry::{mix, Entry, Incarnation, NodeMetadata, Status};
use crate::words::{DigestEntry, LINES_MOST, NEWS_MOST};
use crate::NodeId;
use std::collections::{BTreeMap, VecDeque};

/// Stewards held at once; further ones are refused and counted, those that are known stay.
pub const STEWARDS_MOST: usize = 1024;
/// Processes that are remembered as forgotten; the one that was forgotten first makes room.
const MAX_TOMBSTONES: usize = 4096;

/// What a part of the design does against harm; each can be left out, so that its check can be seen to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Safeguard {
    /// One that is suspected says otherwise.
    Refutation,
    /// The dead are asked again.
    AskingTheDead,
    /// Words of older processes are dropped.
    Process,
    /// Views are compared and what differs is sent.
    AntiEntropy,
    /// A rumour is passed on a few times, then no more.
    RumourBound,
    /// An observer counts its own trouble first.
    OwnTrouble,
    /// All but refutation, processes and the bound: SWIM as it was first published.
    Additions,
    /// Slices are given up when their leases end.
    LeaseEnd,
}

/// What a word was worth.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// Known already, or older than what is known.
    NoReply,
    /// Of a process that has been followed by another, or forgotten.
    Old,
    /// No room for one more steward.
    Full,
    /// It changed what is held; what was held before.
    News { was: Option<Status>, metadata_changed: bool },
    /// It doubted us; our entry has a higher incarnation now.
    Refuted,
    /// Another process with our name and a higher number is spoken of.
    Rival,
}

#[derive(Clone, Debug)]
pub struct Table {
    me: Entry,
    others: BTreeMap<NodeId, Entry>,
    /// The highest process that was forgotten, and in which order that was.
    tombstones: BTreeMap<NodeId, u64>,
    tombstone_order: VecDeque<NodeId>,
    without: Option<Safeguard>,
    digest: u64,
}

impl Table {
    pub fn new(me: Entry, without: Option<Safeguard>) -> Table {
        let mut table = Table {
            me,
            others: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            tombstone_order: VecDeque::new(),
            without,
            digest: 0,
        };
        table.sum_up();
        table
    }

    pub fn lacks(&self, safeguard: Safeguard) -> bool {
        use Safeguard::*;
        let plain = matches!(safeguard, AskingTheDead | AntiEntropy | OwnTrouble);
        self.without == Some(safeguard) || (self.without == Some(Additions) && plain)
    }

    pub fn me(&self) -> &Entry {
        &self.me
    }

    pub fn get(&self, id: NodeId) -> Option<&Entry> {
        if id == self.me.about {
            Some(&self.me)
        } else {
            self.others.get(&id)
        }
    }

    pub fn others(&self) -> impl Iterator<Item = &Entry> {
        self.others.values()
    }

    /// The same for all that hold the same to live, whatever they suspect and whomever they have forgotten.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    fn sum_up(&mut self) {
        let lives = self.others.values().filter(|entry| entry.standing.lives());
        let own = if self.me.standing.lives() { self.me.digest() } else { 0 };
        self.digest = lives.map(Entry::digest).fold(own, |sum, part| sum ^ mix(part));
        if self.me.standing.lives() {
            self.digest ^= own ^ mix(own);
        }
    }

    /// Rewrites our own entry under a higher count.
    pub fn rewrite(&mut self, change: impl FnOnce(&mut NodeMetadata)) {
        change(&mut self.me.metadata);
        self.me.incarnation.count += 1;
        self.sum_up();
    }

    pub fn leave(&mut self) {
        self.me.incarnation.count += 1;
        self.me.standing = Status::Left;
        self.sum_up();
    }

    /// Our process takes a higher number: one of ours had it before, or we were forgotten.
    pub fn rise_above(&mut self, process: u64) {
        self.me.incarnation =
            Incarnation { process: process.max(self.me.incarnation.process).saturating_add(1), count: 0 };
        self.sum_up();
    }

    /// Takes in a word about a steward. `heard_lately`: we had its own word a moment ago, so that it is dead can at
    /// most be suspected; it is asked.
    pub fn learn(&mut self, word: &Entry, heard_lately: bool) -> MergeOutcome {
        if word.about == self.me.about {
            return self.doubted(word);
        }
        let ignores = self.lacks(Safeguard::Process);
        if !ignores
            && self
                .tombstones
                .get(&word.about)
                .is_some_and(|tombstone| word.incarnation.process <= *tombstone)
        {
            return MergeOutcome::Old;
        }
        let Some(known) = self.others.get(&word.about) else {
            return self.meet(word);
        };
        let older = word.incarnation.process < known.incarnation.process;
        let beats = match ignores {
            true => (word.incarnation.count, word.standing) > (known.incarnation.count, known.standing),
            false => word.beats(known),
        };
        if word.standing == Status::Forgotten || !beats {
            return if older && !ignores { MergeOutcome::Old } else { MergeOutcome::NoReply };
        }
        let mut word = word.clone();
        if heard_lately && word.standing == Status::Dead && word.incarnation == known.incarnation {
            word.standing = Status::Suspect;
            if known.standing == Status::Suspect {
                return MergeOutcome::NoReply;
            }
        }
        let news = MergeOutcome::News {
            was: Some(known.standing),
            metadata_changed: known.metadata != word.metadata,
        };
        self.others.insert(word.about, word);
        self.sum_up();
        news
    }

    fn meet(&mut self, word: &Entry) -> MergeOutcome {
        if word.standing == Status::Forgotten {
            return MergeOutcome::NoReply;
        }
        if self.others.len() >= STEWARDS_MOST {
            return MergeOutcome::Full;
        }
        self.others.insert(word.about, word.clone());
        self.sum_up();
        MergeOutcome::News { was: None, metadata_changed: true }
    }

    /// A word about us. Whoever says that we are not alive is told otherwise, also when we have said so before:
    /// what we said then did not reach it.
    fn doubted(&mut self, word: &Entry) -> MergeOutcome {
        let mine = self.me.incarnation;
        if word.incarnation.process != mine.process {
            return if word.incarnation.process > mine.process {
                MergeOutcome::Rival
            } else {
                MergeOutcome::Old
            };
        }
        let doubts = word.standing != Status::Alive && self.me.standing == Status::Alive;
        if !doubts || self.lacks(Safeguard::Refutation) {
            return MergeOutcome::NoReply;
        }
        if word.standing == Status::Forgotten {
            self.rise_above(mine.process);
        } else if word.incarnation.count >= mine.count {
            self.me.incarnation.count = word.incarnation.count.saturating_add(1);
            self.sum_up();
        }
        MergeOutcome::Refuted
    }

    /// Gives up what is held of one that is long gone; its process is refused from now on.
    pub fn forget(&mut self, id: NodeId) {
        let Some(entry) = self.others.remove(&id) else { return };
        if self.tombstones.insert(id, entry.incarnation.process).is_none() {
            self.tombstone_order.push_back(id);
        }
        if self.tombstones.len() > MAX_TOMBSTONES {
            self.tombstone_order.pop_front().into_iter().for_each(|id| _ = self.tombstones.remove(&id));
        }
        self.sum_up();
    }

    /// What a process that was followed or forgotten is told, so that it knows.
    pub fn answer_to_old(&self, word: &Entry) -> Entry {
        let known = self
            .others
            .get(&word.about)
            .filter(|known| known.incarnation.process >= word.incarnation.process);
        let forgotten = || Entry { standing: Status::Forgotten, ..word.clone() };
        known.cloned().unwrap_or_else(forgotten)
    }

    /// One page of what we hold, from a steward on; where the next page begins.
    pub fn page(&self, from: NodeId) -> (Vec<DigestEntry>, NodeId, NodeId) {
        let me = std::iter::once((&self.me.about, &self.me));
        let mut all: Vec<(&NodeId, &Entry)> = self.others.iter().chain(me).collect();
        all.sort_by_key(|(id, _)| **id);
        let lines = all.iter().filter(|(id, _)| **id >= from);
        let lines = lines.map(|(id, entry)| DigestEntry {
            about: **id,
            incarnation: entry.incarnation,
            standing: entry.standing,
        });
        let mut lines: Vec<DigestEntry> = lines.take(LINES_MOST + 1).collect();
        let next = (lines.len() > LINES_MOST).then(|| lines[LINES_MOST].about);
        lines.truncate(LINES_MOST);
        let to = next.map_or(NodeId(u16::MAX), |next| NodeId(next.0 - 1));
        (lines, to, next.unwrap_or(NodeId(0)))
    }

    /// What we know better than such a page, and whom we want to hear of.
    pub fn compare(&self, from: NodeId, to: NodeId, lines: &[DigestEntry]) -> (Vec<Entry>, Vec<NodeId>) {
        let (mut better, mut want) = (Vec::new(), Vec::new());
        for line in lines {
            let theirs = (line.incarnation, line.standing);
            match self.get(line.about) {
                Some(ours) if (ours.incarnation, ours.standing) > theirs => better.push(ours.clone()),
                Some(ours) if (ours.incarnation, ours.standing) < theirs => want.push(line.about),
                None if self
                    .tombstones
                    .get(&line.about)
                    .is_none_or(|tombstone| line.incarnation.process > *tombstone) =>
                {
                    want.push(line.about);
                }
                _ => {}
            }
        }
        let listed: std::collections::BTreeSet<NodeId> = lines.iter().map(|line| line.about).collect();
        let me = std::iter::once(&self.me);
        let lacking = self.others.values().chain(me).filter(|entry| {
            (from..=to).contains(&entry.about) && !listed.contains(&entry.about) && entry.standing.lives()
        });
        better.extend(lacking.cloned());
        better.truncate(NEWS_MOST);
        want.truncate(LINES_MOST);
        (better, want)
    }
}

#[cfg(test)]
mod tests;
