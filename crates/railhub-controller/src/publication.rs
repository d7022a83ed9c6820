//! A change with its version, as it is sent.
use crate::change::Change;
use railhub::{BarrierId, Seconds};
use railhub_proto::{frame, from_controller, FromController};
use std::sync::Arc;

/// A change with its version, encoded once for all proxies that get it as it is.
#[derive(Debug)]
pub struct Publication {
    /// What changes.
    pub change: Arc<Change>,
    /// The controller process that made the version.
    pub incarnation: u64,
    /// The version that a proxy holds once it has applied the change; the nonce of its delta.
    pub version: u64,
    /// When the oldest part of the change was decided.
    pub published_at: Seconds,
    /// The barrier that a proxy passes with its acknowledgement.
    pub barrier: Option<BarrierId>,
    /// The frame.
    pub bytes: Vec<u8>,
}

impl Publication {
    /// Encodes a change.
    pub fn new(
        change: impl Into<Arc<Change>>,
        incarnation: u64,
        version: u64,
        published_at: Seconds,
        barrier: Option<BarrierId>,
    ) -> Publication {
        let change = change.into();
        let delta = change.to_delta(incarnation, version, published_at);
        let bytes = frame(&FromController { payload: Some(from_controller::Payload::Delta(delta)) });
        Publication { change, incarnation, version, published_at, barrier, bytes }
    }

    /// The same version with another change.
    pub fn with_change(&self, change: Change) -> Publication {
        Publication::new(change, self.incarnation, self.version, self.published_at, self.barrier)
    }

    /// This publication and a later one as one, ordered when this one was.
    pub fn merge(&self, later: &Publication) -> Publication {
        let mut change = Change::clone(&self.change);
        change.merge(&later.change);
        let barrier = later.barrier.or(self.barrier);
        Publication::new(change, later.incarnation, later.version, self.published_at, barrier)
    }
}
