//! The member table of one node: its own entry, the entries of all others, and how entries merge. It does not depend on
//! time.
//!
//! The merge is a join over (incarnation, status), as in a state-based CRDT: the same entries result in the same table
//! in any order and with any repetition. The exception is entries of the node itself, which it refutes under a higher
//! incarnation.
use crate::member::{mix, Incarnation, Member, NodeMetadata, Status};
use crate::messages::{DigestEntry, MAX_DIGEST_ENTRIES, MAX_GOSSIP_PER_MESSAGE};
use crate::safeguard::Safeguard;
use crate::tombstones::Tombstones;
use crate::NodeId;
use std::collections::{BTreeMap, BTreeSet};

/// The most other members in a table. Further ones are rejected; known members stay.
pub const MAX_MEMBERS: usize = 1024;

/// The outcome of merging an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The entry is not newer than the known one.
    Unchanged,
    /// The entry belongs to a process that was superseded or tombstoned.
    Stale,
    /// The member is unknown and the table is full.
    TableFull,
    /// The entry changed the table.
    Updated {
        /// The member's status before; `None` for a new member.
        previous: Option<Status>,
        /// Whether the member's metadata changed.
        metadata_changed: bool,
    },
    /// The entry reported this node as not alive, and the node has refuted it under a higher incarnation.
    Refuted,
    /// The entry belongs to another process under this node's id, with a higher process number.
    IdentityConflict,
}

/// One page of a table's digest, to be compared with another node's table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DigestPage {
    /// First id that the page covers.
    pub from: NodeId,
    /// Last id that the page covers.
    pub to: NodeId,
    /// The members in that range.
    pub entries: Vec<DigestEntry>,
    /// First id of the next page; 0 after the last one.
    pub next: NodeId,
}

/// The differences between a table and a page of another one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SyncDiff {
    /// Entries that are newer in this table, at most [`MAX_GOSSIP_PER_MESSAGE`].
    pub newer: Vec<Member>,
    /// Members whose entry is newer in the other table, at most [`MAX_DIGEST_ENTRIES`].
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
    /// A table that contains only the node itself. `disabled`: a safeguard that a test disables.
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

    /// Whether a test has disabled this safeguard.
    pub fn is_disabled(&self, safeguard: Safeguard) -> bool {
        safeguard.is_disabled_by(self.disabled)
    }

    /// The node's own entry.
    pub fn local(&self) -> &Member {
        &self.local
    }

    /// The entry of a member, which may be the node itself.
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

    /// Digest of the live members. It is equal for all tables with the same live processes and metadata, even if
    /// incarnation counts or the statuses alive and suspect differ.
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

    /// Gives the node's own process a number above `process`, which was already used or tombstoned.
    pub fn adopt_process_above(&mut self, process: u64) {
        let process = process.max(self.local.incarnation.process).saturating_add(1);
        self.local.incarnation = Incarnation { process, count: 0 };
        self.update_digest();
    }

    /// Merges an entry. `recently_seen`: a message from the member itself arrived recently, so that a report of its
    /// death only makes it suspect.
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

    /// Merges an entry of the node itself. A report that it is not alive is refuted each time, because an earlier
    /// refutation may not have reached the reporting node.
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

    /// Drops a member and keeps a tombstone, so that entries of its process are rejected from now on.
    pub fn forget(&mut self, id: NodeId) {
        let Some(member) = self.others.remove(&id) else { return };
        self.tombstones.insert(id, member.incarnation.process);
        self.update_digest();
    }

    /// The entry to send to a superseded or tombstoned process so that it learns its status.
    pub fn correction_for(&self, stale: &Member) -> Member {
        match self.others.get(&stale.id) {
            Some(known) if known.incarnation.process >= stale.incarnation.process => known.clone(),
            _ => Member { status: Status::Forgotten, ..stale.clone() },
        }
    }

    /// The page of the table's digest that begins with `from`.
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

    /// Compares the table with a page of another node's digest, which covers the ids `from` to `to`.
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
