//! The store's record of one slice.
use crate::{Epoch, Seconds};

/// Who holds a slice, under which epoch, and until when on the store's clock. Linearizable as long as one store changes
/// it at a time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LeaseRecord {
    /// The epoch of the last grant.
    pub epoch: Epoch,
    /// The process that holds it: a node that starts again is another process.
    pub holder: Option<u64>,
    /// When the lease expires, on the store's clock.
    pub expires_at: Seconds,
}

impl LeaseRecord {
    /// Whether any process holds the slice.
    pub fn is_held(&self, now: Seconds) -> bool {
        self.holder.is_some() && now < self.expires_at
    }

    /// Grants the slice to a process, or renews its lease. `None`: another process holds it.
    pub fn grant(&mut self, now: Seconds, process: u64, duration: Seconds) -> Option<Epoch> {
        let is_holder = self.holder == Some(process);
        if self.is_held(now) && !is_holder {
            return None;
        }
        // An expired lease is renewed under its epoch as long as no other process was granted the slice.
        if !is_holder {
            self.epoch.0 += 1;
        }
        self.holder = Some(process);
        self.expires_at = now + duration;
        Some(self.epoch)
    }

    /// Frees the slice, if this process holds it under this epoch.
    pub fn release(&mut self, process: u64, epoch: Epoch) -> bool {
        let is_holder = self.holder == Some(process) && self.epoch == epoch;
        if is_holder {
            self.holder = None;
        }
        is_holder
    }

    /// Whether a table that comes under this epoch may be written.
    pub fn may_write(&self, epoch: Epoch) -> bool {
        epoch == self.epoch
    }
}
