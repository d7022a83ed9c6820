//! State of slices that several controllers share: leases are acquired and lost while the controller runs.
use crate::expired_slices::ExpiredSlices;
use railhub::{HostId, Seconds, SliceHandoff, SliceId, WeightedHost};
use std::collections::{BTreeMap, BTreeSet};

/// A slice whose lease this controller has acquired.
#[derive(Clone, Debug)]
pub struct AcquiredSlice {
    /// The slice.
    pub slice: SliceId,
    /// Its table, as read from the store.
    pub entries: Vec<WeightedHost>,
    /// The epoch of the lease.
    pub epoch: u64,
    /// The previous holder's handoff with its age, if there is one.
    pub handoff: Option<(SliceHandoff, Seconds)>,
}

/// Leases that were acquired, lost or have expired at the same time.
#[derive(Clone, Debug, Default)]
pub struct LeaseChanges {
    /// Slices whose leases were acquired.
    pub acquired: Vec<AcquiredSlice>,
    /// Slices that this controller releases, or whose lease another controller holds according to the store.
    pub lost: Vec<SliceId>,
    /// Slices whose leases expired because the store did not respond in time.
    pub expired: Vec<SliceId>,
}

impl LeaseChanges {
    /// Whether there are no changes.
    pub fn is_empty(&self) -> bool {
        self.acquired.is_empty() && self.lost.is_empty() && self.expired.is_empty()
    }
}

/// A handoff and the time at which the previous holder wrote it.
pub(super) struct ReceivedHandoff {
    pub(super) handoff: SliceHandoff,
    pub(super) written_at: Seconds,
}

/// The core's state that only sharing of slices requires.
#[derive(Default)]
pub(super) struct SharedSlices {
    /// Acquired slices whose tables have not been published yet.
    pub(super) unpublished: BTreeSet<SliceId>,
    /// Handoffs of acquired slices that have not been passed to the decision engine yet.
    pub(super) handoffs: BTreeMap<SliceId, ReceivedHandoff>,
    /// Slices whose leases have expired.
    pub(super) expired: ExpiredSlices,
    /// Hosts that the decision engine has excluded.
    pub(super) excluded: BTreeSet<HostId>,
}

impl SharedSlices {
    /// Forgets a slice that this controller no longer holds.
    pub(super) fn remove(&mut self, slice: SliceId) {
        self.unpublished.remove(&slice);
        self.handoffs.remove(&slice);
    }
}
