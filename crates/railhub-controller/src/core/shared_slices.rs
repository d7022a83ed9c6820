//! Slices that come and go, where controllers share them.
use crate::expired_slices::ExpiredSlices;
use railhub::{HostId, Seconds, SliceHandoff, SliceId, WeightedHost};
use std::collections::{BTreeMap, BTreeSet};

/// A slice whose lease this controller has acquired.
#[derive(Clone, Debug)]
pub struct AcquiredSlice {
    /// The slice.
    pub slice: SliceId,
    /// Its table as the store has it.
    pub entries: Vec<WeightedHost>,
    /// The epoch of the lease.
    pub epoch: u64,
    /// The handoff of the previous holder, and its age in seconds, if there is one.
    pub handoff: Option<(SliceHandoff, Seconds)>,
}

/// Leases that were acquired and lost at one moment.
#[derive(Clone, Debug, Default)]
pub struct LeaseChanges {
    /// Slices with the epochs that they came under.
    pub acquired: Vec<AcquiredSlice>,
    /// Slices that were released, or are another controller's by the store's response.
    pub lost: Vec<SliceId>,
    /// Slices whose leases have ended while the store did not respond.
    pub expired: Vec<SliceId>,
}

impl LeaseChanges {
    /// Whether nothing changes.
    pub fn is_empty(&self) -> bool {
        self.acquired.is_empty() && self.lost.is_empty() && self.expired.is_empty()
    }
}

/// A handoff, and when the previous holder wrote it.
pub(super) struct ReceivedHandoff {
    pub(super) handoff: SliceHandoff,
    pub(super) written_at: Seconds,
}

/// What sharing adds to the core's state.
#[derive(Default)]
pub(super) struct SharedSlices {
    /// Slices that were acquired and whose tables proxies have not been sent.
    pub(super) unpublished: BTreeSet<SliceId>,
    /// Handoffs of slices that were acquired and that the decisions have not been given.
    pub(super) handoffs: BTreeMap<SliceId, ReceivedHandoff>,
    /// Slices whose leases have expired.
    pub(super) expired: ExpiredSlices,
    /// Hosts that the decisions have excluded.
    pub(super) excluded: BTreeSet<HostId>,
}

impl SharedSlices {
    /// A slice is not this controller's any more.
    pub(super) fn remove(&mut self, slice: SliceId) {
        self.unpublished.remove(&slice);
        self.handoffs.remove(&slice);
    }
}
