//! What one steward holds of all: the merge of entries, free of time. Any order and any repetition of the same
//! words ends in the same table, but for words about ourselves, which are answered by a higher count.
use crate::member::{mix, Incarnation, Member, NodeMetadata, Status};
use crate::messages::{DigestEntry, MAX_DIGEST_ENTRIES, MAX_GOSSIP_PER_MESSAGE};
use crate::NodeId;
use std::collections::{BTreeMap, VecDeque};

/// Stewards held at once; further ones are refused and counted, those that are known stay.
pub const MAX_MEMBERS: usize = 1024;
/// Processes that are remembered as forgotten; the one that was forgotten first makes room.
const MAX_TOMBSTONES: usize = 4096;

/// What a part of the design does against harm; each can be left out, so that its check can be seen to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Safeguard {
    /// One that is suspected says otherwise.
    Refutation,
    /// The dead are asked again.
    DeadProbing,
    /// Words of older processes are dropped.
    ProcessOrder,
    /// Views are compared and what differs is sent.
    AntiEntropy,
    /// A rumour is passed on a few times, then no more.
    GossipLimit,
    /// An observer counts its own trouble first.
    LocalHealth,
    /// All but refutation, processes and the bound: SWIM as it was first published.
    Extensions,
    /// Slices are given up when their leases end.
    LeaseExpiry,
}

/// What a word was worth.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// Known already, or older than what is known.
    Unchanged,
    /// Of a process that has been followed by another, or forgotten.
    Stale,
    /// No room for one more steward.
    TableFull,
    /// It changed what is held; what was held before.
    Updated { was: Option<Status>, metadata_changed: bool },
    /// It doubted us; our entry has a higher incarnation now.
    Refuted,
    /// Another process with our name and a higher number is spoken of.
    IdentityConflict,
}

#[derive(Clone, Debug)]
pub struct MemberTable {
    me: Member,
    others: BTreeMap<NodeId, Member>,
    /// The highest process that was forgotten, and in which order that was.
    tombstones: BTreeMap<NodeId, u64>,
    tombstone_order: VecDeque<NodeId>,
    without: Option<Safeguard>,
    digest: u64,
}

impl MemberTable {
    pub fn new(me: Member, without: Option<Safeguard>) -> MemberTable {
        let mut table = MemberTable {
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
        let plain = matches!(safeguard, DeadProbing | AntiEntropy | LocalHealth);
        self.without == Some(safeguard) || (self.without == Some(Extensions) && plain)
    }

    pub fn me(&self) -> &Member {
        &self.me
    }

    pub fn get(&self, id: NodeId) -> Option<&Member> {
        if id == self.me.about {
            Some(&self.me)
        } else {
            self.others.get(&id)
        }
    }

    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.others.values()
    }

    /// The same for all that hold the same to live, whatever they suspect and whomever they have forgotten.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    fn sum_up(&mut self) {
        let is_live = self.others.values().filter(|entry| entry.status.is_live());
        let own = if self.me.status.is_live() { self.me.digest() } else { 0 };
        self.digest = is_live.map(Member::digest).fold(own, |sum, part| sum ^ mix(part));
        if self.me.status.is_live() {
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
        self.me.status = Status::Left;
        self.sum_up();
    }

    /// Our process takes a higher number: one of ours had it before, or we were forgotten.
    pub fn adopt_process_above(&mut self, process: u64) {
        self.me.incarnation =
            Incarnation { process: process.max(self.me.incarnation.process).saturating_add(1), count: 0 };
        self.sum_up();
    }

    /// Takes in a word about a steward. `heard_lately`: we had its own word a moment ago, so that it is dead can at
    /// most be suspected; it is asked.
    pub fn learn(&mut self, word: &Member, heard_lately: bool) -> MergeOutcome {
        if word.about == self.me.about {
            return self.doubted(word);
        }
        let ignores = self.lacks(Safeguard::ProcessOrder);
        if !ignores
            && self
                .tombstones
                .get(&word.about)
                .is_some_and(|tombstone| word.incarnation.process <= *tombstone)
        {
            return MergeOutcome::Stale;
        }
        let Some(known) = self.others.get(&word.about) else {
            return self.meet(word);
        };
        let older = word.incarnation.process < known.incarnation.process;
        let supersedes = match ignores {
            true => (word.incarnation.count, word.status) > (known.incarnation.count, known.status),
            false => word.supersedes(known),
        };
        if word.status == Status::Forgotten || !supersedes {
            return if older && !ignores { MergeOutcome::Stale } else { MergeOutcome::Unchanged };
        }
        let mut word = word.clone();
        if heard_lately && word.status == Status::Dead && word.incarnation == known.incarnation {
            word.status = Status::Suspect;
            if known.status == Status::Suspect {
                return MergeOutcome::Unchanged;
            }
        }
        let news = MergeOutcome::Updated {
            was: Some(known.status),
            metadata_changed: known.metadata != word.metadata,
        };
        self.others.insert(word.about, word);
        self.sum_up();
        news
    }

    fn meet(&mut self, word: &Member) -> MergeOutcome {
        if word.status == Status::Forgotten {
            return MergeOutcome::Unchanged;
        }
        if self.others.len() >= MAX_MEMBERS {
            return MergeOutcome::TableFull;
        }
        self.others.insert(word.about, word.clone());
        self.sum_up();
        MergeOutcome::Updated { was: None, metadata_changed: true }
    }

    /// A word about us. Whoever says that we are not alive is told otherwise, also when we have said so before:
    /// what we said then did not reach it.
    fn doubted(&mut self, word: &Member) -> MergeOutcome {
        let mine = self.me.incarnation;
        if word.incarnation.process != mine.process {
            return if word.incarnation.process > mine.process {
                MergeOutcome::IdentityConflict
            } else {
                MergeOutcome::Stale
            };
        }
        let doubts = word.status != Status::Alive && self.me.status == Status::Alive;
        if !doubts || self.lacks(Safeguard::Refutation) {
            return MergeOutcome::Unchanged;
        }
        if word.status == Status::Forgotten {
            self.adopt_process_above(mine.process);
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
    pub fn correction_for(&self, word: &Member) -> Member {
        let known = self
            .others
            .get(&word.about)
            .filter(|known| known.incarnation.process >= word.incarnation.process);
        let forgotten = || Member { status: Status::Forgotten, ..word.clone() };
        known.cloned().unwrap_or_else(forgotten)
    }

    /// One page of what we hold, from a steward on; where the next page begins.
    pub fn page(&self, from: NodeId) -> (Vec<DigestEntry>, NodeId, NodeId) {
        let me = std::iter::once((&self.me.about, &self.me));
        let mut all: Vec<(&NodeId, &Member)> = self.others.iter().chain(me).collect();
        all.sort_by_key(|(id, _)| **id);
        let lines = all.iter().filter(|(id, _)| **id >= from);
        let lines = lines.map(|(id, entry)| DigestEntry {
            about: **id,
            incarnation: entry.incarnation,
            status: entry.status,
        });
        let mut lines: Vec<DigestEntry> = lines.take(MAX_DIGEST_ENTRIES + 1).collect();
        let next = (lines.len() > MAX_DIGEST_ENTRIES).then(|| lines[MAX_DIGEST_ENTRIES].about);
        lines.truncate(MAX_DIGEST_ENTRIES);
        let to = next.map_or(NodeId(u16::MAX), |next| NodeId(next.0 - 1));
        (lines, to, next.unwrap_or(NodeId(0)))
    }

    /// What we know better than such a page, and whom we want to hear of.
    pub fn compare(&self, from: NodeId, to: NodeId, lines: &[DigestEntry]) -> (Vec<Member>, Vec<NodeId>) {
        let (mut better, mut want) = (Vec::new(), Vec::new());
        for line in lines {
            let theirs = (line.incarnation, line.status);
            match self.get(line.about) {
                Some(ours) if (ours.incarnation, ours.status) > theirs => better.push(ours.clone()),
                Some(ours) if (ours.incarnation, ours.status) < theirs => want.push(line.about),
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
            (from..=to).contains(&entry.about) && !listed.contains(&entry.about) && entry.status.is_live()
        });
        better.extend(lacking.cloned());
        better.truncate(MAX_GOSSIP_PER_MESSAGE);
        want.truncate(MAX_DIGEST_ENTRIES);
        (better, want)
    }
}

#[cfg(test)]
mod tests;
