//! Leases: who may write a slice's table, and when a lease is lost.
//!
//! # Who owns what
//!
//! The *store's side* ([`crate::lease_store`]) owns who holds each slice, under which epoch, until when on the store's
//! clock. It grants a slice to one process at a time, and raises the slice's epoch with each grant but a renewal.
//!
//! The *holder's side* (this module) owns what this process may write at this moment, by this process's clock alone.
//! Nobody else ends its leases in time: the store's response may be lost, and a process that stood still answers nobody.
//! So each write checks [`HeldLeases::valid_epoch`] at the moment of writing.
//!
//! The *epoch* is the fencing token (the sequencer of Chubby, Burrows 2006): each command and each write of a table
//! carries it, and proxies, hosts ([`crate::fence::Fence`]) and the store drop what comes under an older one. A holder
//! that is wrong about its lease can do no harm then.
//!
//! # Clocks
//!
//! Clocks need not agree, only run at about the same rate. The store counts a lease's duration from when it decides the
//! request. The holder counts from when it *sent* the request, which is earlier, and takes off the fraction by which
//! clocks may run apart (`CLOCK_DRIFT_FRACTION`). So the holder has stopped before the store may grant the slice to
//! another. If a clock jumps or drifts further, both may believe to hold the slice for a time; the epoch decides.
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
//! - *released*: this process gives the slice up ([`HeldLeases::release`]): placement assigns it to another node.
//! - *revoked*: the store refused to renew it ([`HeldLeases::on_refused`]): another process holds it, or the store
//!   has restarted and does not know of the grant.
//! - *expired*: no renewal came in time, because the store did not answer or this process stood still
//!   ([`HeldLeases::take_expired`]). It may not write from the expiry on, whether or not a tick has come since.
//! - *superseded*: a grant under a higher epoch replaces an older one; the slice stays held under the new epoch.
use crate::{Epoch, Seconds};
use std::collections::BTreeMap;

/// Fraction of a lease's duration by which clocks may run apart, with a margin for the way of a message.
const CLOCK_DRIFT_FRACTION: f64 = 0.1;
/// Fraction of a lease that is left when it is renewed: three tries fit in before it expires.
const RENEWAL_REMAINING_FRACTION: f64 = 0.6;

/// The state of one slice's lease at a moment of the holder's clock; see the module's transitions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// Never acquired, or released, revoked or taken out after its expiry.
    NotHeld,
    /// The slice may be written under this epoch.
    Valid(Epoch),
    /// The lease has run out, and nothing may be written under its epoch.
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
    /// When the latest request was sent that the store has answered, also one that granted nothing.
    last_answered_request_at: Seconds,
}

impl HeldLeases {
    /// `duration`: seconds that the store grants a slice for.
    pub fn new(duration: Seconds) -> HeldLeases {
        HeldLeases { duration, ..HeldLeases::default() }
    }

    /// Seconds that the store grants a slice for.
    pub fn duration(&self) -> Seconds {
        self.duration
    }

    /// Seconds that this process holds a lease for, from when it sent the request.
    fn holder_duration(&self) -> Seconds {
        self.duration * (1.0 - CLOCK_DRIFT_FRACTION)
    }

    /// The store has granted these slices, by a request that was sent at `requested_at`. A response that comes after
    /// the leases have expired acquires nothing; one that comes out of order does not bring an older epoch back.
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

    /// The store refused these slices: their leases, if any are held, are revoked.
    pub fn on_refused(&mut self, slices: &[u16]) {
        for slice in slices {
            self.leases.remove(slice);
        }
    }

    /// Gives a slice up: from now on nothing may be written for it. Returns the epoch under which it was held.
    pub fn release(&mut self, slice: u16) -> Option<Epoch> {
        self.leases.remove(&slice).map(|lease| lease.epoch)
    }

    /// Takes out the slices whose leases have expired.
    pub fn take_expired(&mut self, now: Seconds) -> Vec<u16> {
        let expired = self.leases.iter().filter(|(_, lease)| lease.expires_at <= now);
        let expired: Vec<u16> = expired.map(|(slice, _)| *slice).collect();
        for slice in &expired {
            self.leases.remove(slice);
        }
        expired
    }

    /// The state of a slice's lease at this moment.
    pub fn state(&self, now: Seconds, slice: u16) -> LeaseState {
        match self.leases.get(&slice) {
            None => LeaseState::NotHeld,
            Some(lease) if now < lease.expires_at => LeaseState::Valid(lease.epoch),
            Some(lease) => LeaseState::Expired(lease.epoch),
        }
    }

    /// The epoch under which a slice may be written at this moment, if it may be.
    pub fn valid_epoch(&self, now: Seconds, slice: u16) -> Option<Epoch> {
        match self.state(now, slice) {
            LeaseState::Valid(epoch) => Some(epoch),
            LeaseState::NotHeld | LeaseState::Expired(_) => None,
        }
    }

    /// All slices with their epochs, in the order of slices, up to the last [`HeldLeases::take_expired`].
    pub fn held(&self) -> impl Iterator<Item = (u16, Epoch)> + '_ {
        self.leases.iter().map(|(slice, lease)| (*slice, lease.epoch))
    }

    /// Number of slices in [`HeldLeases::held`].
    pub fn count(&self) -> usize {
        self.leases.len()
    }

    /// When the leases are to be renewed next, on the holder's clock.
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
