//! A change with its version, encoded for sending.
use crate::change::Change;
use railhub::{BarrierId, Seconds};
use railhub_proto::{frame, from_controller, FromController};
use std::sync::Arc;

/// A change with its version, encoded once for all proxies that get it unmodified.
#[derive(Debug)]
pub struct Publication {
    /// The change.
    pub change: Arc<Change>,
    /// The controller process that created the version.
    pub incarnation: u64,
    /// The version that a proxy holds after it has applied the change; also the nonce of the delta.
    pub version: u64,
    /// When the oldest part of the change was decided.
    pub ordered_at: Seconds,
    /// The barrier that a proxy passes when it acknowledges the delta.
    pub barrier: Option<BarrierId>,
    /// The encoded frame.
    pub bytes: Vec<u8>,
}

impl Publication {
    /// Encodes a change.
    pub fn new(
        change: impl Into<Arc<Change>>,
        incarnation: u64,
        version: u64,
        ordered_at: Seconds,
        barrier: Option<BarrierId>,
    ) -> Publication {
        let change = change.into();
        let delta = change.to_delta(incarnation, version, ordered_at);
        let bytes = frame(&FromController { payload: Some(from_controller::Payload::Delta(delta)) });
        Publication { change, incarnation, version, ordered_at, barrier, bytes }
    }

    /// The same version with another change.
    pub fn with_change(&self, change: Change) -> Publication {
        Publication::new(change, self.incarnation, self.version, self.ordered_at, self.barrier)
    }

    /// Merges a later publication into this one, whose decision time is kept.
    pub fn merge(&self, later: &Publication) -> Publication {
        let mut change = Change::clone(&self.change);
        change.merge(&later.change);
        let barrier = later.barrier.or(self.barrier);
        Publication::new(change, later.incarnation, later.version, self.ordered_at, barrier)
    }
}
