//! The holder's side of leases: which slices this process may write, and when a lease is lost.
//!
//! # State of the store and of the holder
//!
//! The *store's side* ([`crate::lease_store`]) records which process holds each slice, under which epoch, and until
//! when on the store's clock. It grants a slice to one process at a time, and raises the slice's epoch with each grant
//! that is not a renewal.
//!
//! The *holder's side* (this module) tracks what this process may write at this moment, by this process's clock alone.
//! The holder cannot rely on being told that a lease has ended: the store's response may be lost, and a paused process
//! receives nothing. So each write checks [`HeldLeases::valid_epoch`] at the moment of writing.
//!
//! The *epoch* is the fencing token (the sequencer of Chubby, Burrows 2006): each command and each write of a table
//! carries it, and proxies, hosts ([`crate::fence::Fence`]) and the store drop whatever carries an older one. So a
//! holder that wrongly believes that its lease is valid can do no harm.
//!
//! # Clocks
//!
//! Clocks need not show the same time, but must run at about the same rate. The store counts a lease's duration from
//! when it decides the request. The holder counts from when it *sent* the request, which is earlier, and shortens the
//! duration by the fraction by which clocks may drift apart (`CLOCK_DRIFT_FRACTION`). So the holder stops before the
//! store may grant the slice to another process. If a clock jumps or drifts further, two processes may believe that
//! they hold the slice for a time; the epoch decides between them.
//!
//! # When is a lease lost?
//!
//! ```text
//!              acquired                      renewed: same epoch, later expiry
//!  NotHeld ----------------> Valid ------------------------------------------> Valid
//!     ^                       | | |
//!     |      released         | | |   expired: the holder's clock reaches the expiry
//!     |<----------------------' | `-----------------------------> Expired
//!     |      revoked            |                                    |
//!     |<------------------------'                                    |
//!     `--------------------------- take_expired, at the next tick ---'
//! ```
//!
//! - *released*: this process gives the slice up ([`HeldLeases::release`]) because placement assigns it to another
//!   node.
//! - *revoked*: the store refused to renew it ([`HeldLeases::on_refused`]): another process holds it, or the store
//!   has restarted from a copy that does not contain the grant.
//! - *expired*: no renewal came in time, because the store did not answer or this process was paused
//!   ([`HeldLeases::take_expired`]). It may not write from the expiry on, even if no tick has run since.
//! - *superseded*: a grant under a higher epoch replaces an older one; the slice stays held under the new epoch.
use crate::{Epoch, Seconds};
use std::collections::BTreeMap;

/// Fraction of a lease's duration by which clocks may drift apart, including a margin for the network delay.
const CLOCK_DRIFT_FRACTION: f64 = 0.1;
/// Fraction of a lease that is left when it is renewed: enough for three renewal attempts before it expires.
const RENEWAL_REMAINING_FRACTION: f64 = 0.6;

/// The state of one slice's lease at a given time on the holder's clock. The module documentation shows the
/// transitions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// Never acquired; or released, revoked or removed after its expiry.
    NotHeld,
    /// The slice may be written under this epoch.
    Valid(Epoch),
    /// The lease has expired, and nothing may be written under its epoch.
    Expired(Epoch),
}

/// One slice's lease.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Lease {
    epoch: Epoch,
    /// On the holder's clock.
    expires_at: Seconds,
}

/// The leases of one process, by slice.
#[derive(Clone, Debug, Default)]
pub struct HeldLeases {
    duration: Seconds,
    leases: BTreeMap<u16, Lease>,
    /// When the latest request that the store has answered was sent, even if the store granted nothing.
    last_answered_request_at: Seconds,
}

impl HeldLeases {
    /// Holds no leases yet. `duration`: seconds for which the store grants a slice.
    pub fn new(duration: Seconds) -> HeldLeases {
        HeldLeases { duration, ..HeldLeases::default() }
    }

    /// Seconds for which the store grants a slice.
    pub fn duration(&self) -> Seconds {
        self.duration
    }

    /// Seconds for which this process holds a lease, counted from when it sent the request.
    fn holder_duration(&self) -> Seconds {
        self.duration * (1.0 - CLOCK_DRIFT_FRACTION)
    }

    /// The store granted these slices in response to a request that was sent at `requested_at`. A response that arrives
    /// after the leases have expired acquires nothing; one that arrives out of order does not restore an older epoch.
    pub fn on_granted(&mut self, now: Seconds, requested_at: Seconds, slices: &[(u16, Epoch)]) {
        let expires_at = requested_at + self.holder_duration();
        self.last_answered_request_at = self.last_answered_request_at.max(requested_at);
        if expires_at <= now {
            return;
        }
        for (slice, epoch) in slices {
            let granted = Lease { epoch: *epoch, expires_at };
            let lease = match self.leases.get(slice) {
                Some(known) if known.epoch > *epoch => continue,
                Some(known) if known.epoch == *epoch => {
                    Lease { expires_at: known.expires_at.max(expires_at), ..granted }
                }
                _ => granted,
            };
            self.leases.insert(*slice, lease);
        }
    }

    /// The store refused these slices, so any leases held on them are revoked.
    pub fn on_refused(&mut self, slices: &[u16]) {
        for slice in slices {
            self.leases.remove(slice);
        }
    }

    /// Gives a slice up: nothing may be written for it from now on. Returns the epoch under which it was held.
    pub fn release(&mut self, slice: u16) -> Option<Epoch> {
        self.leases.remove(&slice).map(|lease| lease.epoch)
    }

    /// Removes and returns the slices whose leases have expired.
    pub fn take_expired(&mut self, now: Seconds) -> Vec<u16> {
        let expired = self.leases.iter().filter(|(_, lease)| lease.expires_at <= now);
        let expired: Vec<u16> = expired.map(|(slice, _)| *slice).collect();
        for slice in &expired {
            self.leases.remove(slice);
        }
        expired
    }

    /// The state of a slice's lease at `now`.
    pub fn state(&self, now: Seconds, slice: u16) -> LeaseState {
        match self.leases.get(&slice) {
            None => LeaseState::NotHeld,
            Some(lease) if now < lease.expires_at => LeaseState::Valid(lease.epoch),
            Some(lease) => LeaseState::Expired(lease.epoch),
        }
    }

    /// The epoch under which a slice may be written at `now`, if it may be written.
    pub fn valid_epoch(&self, now: Seconds, slice: u16) -> Option<Epoch> {
        match self.state(now, slice) {
            LeaseState::Valid(epoch) => Some(epoch),
            LeaseState::NotHeld | LeaseState::Expired(_) => None,
        }
    }

    /// All slices with their epochs, in slice order. Includes leases that expired after the last
    /// [`HeldLeases::take_expired`].
    pub fn held(&self) -> impl Iterator<Item = (u16, Epoch)> + '_ {
        self.leases.iter().map(|(slice, lease)| (*slice, lease.epoch))
    }

    /// Number of slices in [`HeldLeases::held`].
    pub fn count(&self) -> usize {
        self.leases.len()
    }

    /// When the leases are due for renewal, on the holder's clock.
    pub fn renewal_due_at(&self) -> Seconds {
        self.last_answered_request_at + self.holder_duration() * (1.0 - RENEWAL_REMAINING_FRACTION)
    }

    /// When the first lease expires, if any is held.
    pub fn earliest_expiry(&self) -> Option<Seconds> {
        self.leases.values().map(|lease| lease.expires_at).min_by(Seconds::total_cmp)
    }
}

#[cfg(test)]
mod tests;
