//! Tombstones: the process numbers of members whose entries were dropped, so that late messages cannot add them again.
use crate::NodeId;
use std::collections::{BTreeMap, VecDeque};

/// The most tombstones that are kept; beyond that, the oldest is dropped.
const MAX_TOMBSTONES: usize = 4096;

/// The last process number of each dropped member.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tombstones {
    processes: BTreeMap<NodeId, u64>,
    oldest_first: VecDeque<NodeId>,
}

impl Tombstones {
    /// Whether this process of the node or a later one has a tombstone.
    pub(crate) fn covers(&self, id: NodeId, process: u64) -> bool {
        self.processes.get(&id).is_some_and(|tombstoned| process <= *tombstoned)
    }

    pub(crate) fn insert(&mut self, id: NodeId, process: u64) {
        if self.processes.insert(id, process).is_none() {
            self.oldest_first.push_back(id);
        }
        if self.processes.len() > MAX_TOMBSTONES {
            if let Some(oldest) = self.oldest_first.pop_front() {
                self.processes.remove(&oldest);
            }
        }
    }
}
