//! The store's lease record of one slice.
use crate::{Epoch, Seconds};

/// Which process holds a slice, under which epoch, and until when on the store's clock. The changes of a record are
/// linearizable as long as a single store makes them, one after the other.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LeaseRecord {
    /// The epoch of the last grant.
    pub epoch: Epoch,
    /// The process that holds the slice. A node that restarts is another process.
    pub holder: Option<u64>,
    /// When the lease expires, on the store's clock.
    pub expires_at: Seconds,
}

impl LeaseRecord {
    /// Whether any process holds an unexpired lease on the slice.
    pub fn is_held(&self, now: Seconds) -> bool {
        self.holder.is_some() && now < self.expires_at
    }

    /// Grants the slice to a process or renews its lease. Returns `None` if another process holds it.
    pub fn grant(&mut self, now: Seconds, process: u64, duration: Seconds) -> Option<Epoch> {
        let is_holder = self.holder == Some(process);
        if self.is_held(now) && !is_holder {
            return None;
        }
        // The last holder keeps its epoch even after the lease expired, as long as no other process got the slice.
        if !is_holder {
            self.epoch.0 += 1;
        }
        self.holder = Some(process);
        self.expires_at = now + duration;
        Some(self.epoch)
    }

    /// Releases the slice if this process is its holder under this epoch. Returns whether it was.
    pub fn release(&mut self, process: u64, epoch: Epoch) -> bool {
        let is_holder = self.holder == Some(process) && self.epoch == epoch;
        if is_holder {
            self.holder = None;
        }
        is_holder
    }

    /// Whether a table may be written under this epoch.
    pub fn may_write(&self, epoch: Epoch) -> bool {
        epoch == self.epoch
    }
}
