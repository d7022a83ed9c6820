//! The member table of one node: its own entry, those of all others, and how entries merge. Free of time.
//!
//! The merge is a join over (incarnation, status) (a state-based CRDT): any order and any repetition of the same
//! entries ends in the same table, except for entries of the node itself, which it refutes under a higher incarnation.
use crate::member::{mix, Incarnation, Member, NodeMetadata, Status};
use crate::messages::{DigestEntry, MAX_DIGEST_ENTRIES, MAX_GOSSIP_PER_MESSAGE};
use crate::safeguard::Safeguard;
use crate::tombstones::Tombstones;
use crate::NodeId;
use std::collections::{BTreeMap, BTreeSet};

/// Other members in a table; further ones are rejected, those that are known stay.
pub const MAX_MEMBERS: usize = 1024;

/// What came of merging an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// Known already, or older than what is known.
    Unchanged,
    /// Of a process that was followed by a later one, or tombstoned.
    Stale,
    /// There is no room for one more member.
    TableFull,
    /// It changed the table.
    Updated {
        /// The member's status before; `None` for a new member.
        previous: Option<Status>,
        /// The member's metadata differ from before.
        metadata_changed: bool,
    },
    /// It reported this node as not alive; the node's entry has a higher incarnation now.
    Refuted,
    /// It is of another process under this node's id, with a higher number.
    IdentityConflict,
}

/// One page of a table, as it is sent to be compared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DigestPage {
    /// First id that the page covers.
    pub from: NodeId,
    /// Last id that the page covers.
    pub to: NodeId,
    /// The members in that range.
    pub entries: Vec<DigestEntry>,
    /// First id of the page that comes after it; 0 after the last.
    pub next: NodeId,
}

/// How a table differs from a page of another one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SyncDiff {
    /// Entries that are newer here, [`MAX_GOSSIP_PER_MESSAGE`] at most.
    pub newer: Vec<Member>,
    /// Members of which the other has a newer entry, [`MAX_DIGEST_ENTRIES`] at most.
    pub wanted: Vec<NodeId>,
}

/// One node's table of all members.
#[derive(Clone, Debug)]
pub struct MemberTable {
    local: Member,
    others: BTreeMap<NodeId, Member>,
    tombstones: Tombstones,
    disabled: Option<Safeguard>,
    digest: u64,
}

impl MemberTable {
    /// A table that knows the node itself. `disabled`: a safeguard that a test leaves out.
    pub fn new(local: Member, disabled: Option<Safeguard>) -> MemberTable {
        let mut table = MemberTable {
            local,
            others: BTreeMap::new(),
            tombstones: Tombstones::default(),
            disabled,
            digest: 0,
        };
        table.update_digest();
        table
    }

    /// Whether a test leaves this safeguard out.
    pub fn is_disabled(&self, safeguard: Safeguard) -> bool {
        safeguard.is_disabled_by(self.disabled)
    }

    /// The node's own entry.
    pub fn local(&self) -> &Member {
        &self.local
    }

    /// The entry of any member, the node itself included.
    pub fn get(&self, id: NodeId) -> Option<&Member> {
        if id == self.local.id {
            Some(&self.local)
        } else {
            self.others.get(&id)
        }
    }

    /// All other members, in the order of ids.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.others.values()
    }

    /// Digest of the live members: the same in all tables that hold the same processes live, whatever else differs.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    fn update_digest(&mut self) {
        let local_is_live = self.local.status.is_live();
        let local = if local_is_live { self.local.digest() } else { 0 };
        let live = self.others.values().filter(|member| member.status.is_live());
        self.digest = live.map(Member::digest).fold(local, |digest, part| digest ^ mix(part));
        if local_is_live {
            self.digest ^= local ^ mix(local);
        }
    }

    /// Changes the node's own metadata, under a higher incarnation.
    pub fn update_local_metadata(&mut self, change: impl FnOnce(&mut NodeMetadata)) {
        change(&mut self.local.metadata);
        self.local.incarnation.count += 1;
        self.update_digest();
    }

    /// Marks the node itself as having left, under a higher incarnation.
    pub fn leave(&mut self) {
        self.local.incarnation.count += 1;
        self.local.status = Status::Left;
        self.update_digest();
    }

    /// Gives the node's own process a number above `process`: that one was used before, or was tombstoned.
    pub fn adopt_process_above(&mut self, process: u64) {
        let process = process.max(self.local.incarnation.process).saturating_add(1);
        self.local.incarnation = Incarnation { process, count: 0 };
        self.update_digest();
    }

    /// Merges an entry. `recently_seen`: the member's own message came a moment ago, so that a report of its death
    /// only makes it suspect.
    pub fn merge(&mut self, update: &Member, recently_seen: bool) -> MergeOutcome {
        if update.id == self.local.id {
            return self.merge_local(update);
        }
        let ordered = !self.is_disabled(Safeguard::ProcessOrder);
        if ordered && self.tombstones.covers(update.id, update.incarnation.process) {
            return MergeOutcome::Stale;
        }
        let Some(known) = self.others.get(&update.id) else {
            return self.insert_new(update);
        };
        let supersedes = match ordered {
            true => update.supersedes(known),
            false => (update.incarnation.count, update.status) > (known.incarnation.count, known.status),
        };
        if update.status == Status::Forgotten || !supersedes {
            let older_process = update.incarnation.process < known.incarnation.process;
            return if older_process && ordered { MergeOutcome::Stale } else { MergeOutcome::Unchanged };
        }
        let mut update = update.clone();
        if recently_seen && update.status == Status::Dead && update.incarnation == known.incarnation {
            if known.status == Status::Suspect {
                return MergeOutcome::Unchanged;
            }
            update.status = Status::Suspect;
        }
        let outcome = MergeOutcome::Updated {
            previous: Some(known.status),
            metadata_changed: known.metadata != update.metadata,
        };
        self.others.insert(update.id, update);
        self.update_digest();
        outcome
    }

    fn insert_new(&mut self, update: &Member) -> MergeOutcome {
        if update.status == Status::Forgotten {
            return MergeOutcome::Unchanged;
        }
        if self.others.len() >= MAX_MEMBERS {
            return MergeOutcome::TableFull;
        }
        self.others.insert(update.id, update.clone());
        self.update_digest();
        MergeOutcome::Updated { previous: None, metadata_changed: true }
    }

    /// An entry of the node itself. A report that it is not alive is refuted each time, since an earlier refutation
    /// may not have reached its sender.
    fn merge_local(&mut self, update: &Member) -> MergeOutcome {
        let local = self.local.incarnation;
        if update.incarnation.process > local.process {
            return MergeOutcome::IdentityConflict;
        }
        if update.incarnation.process < local.process {
            return MergeOutcome::Stale;
        }
        let is_reported_not_alive = update.status != Status::Alive && self.local.status == Status::Alive;
        if !is_reported_not_alive || self.is_disabled(Safeguard::Refutation) {
            return MergeOutcome::Unchanged;
        }
        if update.status == Status::Forgotten {
            self.adopt_process_above(local.process);
        } else if update.incarnation.count >= local.count {
            self.local.incarnation.count = update.incarnation.count.saturating_add(1);
            self.update_digest();
        }
        MergeOutcome::Refuted
    }

    /// Drops a member that is long gone and leaves a tombstone: its process is refused from now on.
    pub fn forget(&mut self, id: NodeId) {
        let Some(member) = self.others.remove(&id) else { return };
        self.tombstones.insert(id, member.incarnation.process);
        self.update_digest();
    }

    /// The entry that tells a superseded or tombstoned process so.
    pub fn correction_for(&self, stale: &Member) -> Member {
        match self.others.get(&stale.id) {
            Some(known) if known.incarnation.process >= stale.incarnation.process => known.clone(),
            _ => Member { status: Status::Forgotten, ..stale.clone() },
        }
    }

    /// The page of the table that begins with `from`.
    pub fn digest_page(&self, from: NodeId) -> DigestPage {
        let mut members: Vec<&Member> = self.others.values().chain([&self.local]).collect();
        members.sort_by_key(|member| member.id);
        let mut entries: Vec<DigestEntry> = members
            .into_iter()
            .filter(|member| member.id >= from)
            .take(MAX_DIGEST_ENTRIES + 1)
            .map(|member| DigestEntry {
                id: member.id,
                incarnation: member.incarnation,
                status: member.status,
            })
            .collect();
        let next = entries.get(MAX_DIGEST_ENTRIES).map(|entry| entry.id);
        entries.truncate(MAX_DIGEST_ENTRIES);
        let to = next.map_or(NodeId(u16::MAX), |next| NodeId(next.0 - 1));
        DigestPage { from, to, entries, next: next.unwrap_or(NodeId(0)) }
    }

    /// Compares the table with a page of another node's.
    pub fn diff(&self, from: NodeId, to: NodeId, entries: &[DigestEntry]) -> SyncDiff {
        let mut diff = SyncDiff::default();
        for entry in entries {
            let listed = (entry.incarnation, entry.status);
            match self.get(entry.id) {
                Some(known) if (known.incarnation, known.status) > listed => diff.newer.push(known.clone()),
                Some(known) if (known.incarnation, known.status) < listed => diff.wanted.push(entry.id),
                Some(_) => {}
                None if self.tombstones.covers(entry.id, entry.incarnation.process) => {}
                None => diff.wanted.push(entry.id),
            }
        }
        let listed_ids: BTreeSet<NodeId> = entries.iter().map(|entry| entry.id).collect();
        let missing = self.others.values().chain([&self.local]).filter(|member| {
            (from..=to).contains(&member.id) && !listed_ids.contains(&member.id) && member.status.is_live()
        });
        diff.newer.extend(missing.cloned());
        diff.newer.truncate(MAX_GOSSIP_PER_MESSAGE);
        diff.wanted.truncate(MAX_DIGEST_ENTRIES);
        diff
    }
}

#[cfg(test)]
mod tests;
