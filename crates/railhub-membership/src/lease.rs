//! What a steward holds. The store grants a slice with an epoch for a span of time; the steward counts the span
//! from before it asked, on its own clock, and takes off what its clock may run slow. So it has stopped before
//! the store may grant the slice to another, as long as its clock keeps within the bound; past that, the epoch in
//! each order keeps it from doing harm.
use crate::{Epoch, Seconds};
use std::collections::BTreeMap;

/// Share of a span that clocks may run apart, and some for the way.
const DRIFT: f64 = 0.1;
/// Share of what is left of a lease at which it is renewed: three tries fit in before it ends.
const RENEW_AT: f64 = 0.6;

/// One slice that was granted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lease {
    pub epoch: Epoch,
    /// On this steward's clock: nothing is ordered from then on.
    until: Seconds,
}

/// All that a steward holds.
#[derive(Clone, Debug, Default)]
pub struct HeldLeases {
    span: Seconds,
    lease_store: BTreeMap<u16, Lease>,
    renewed: Seconds,
}

impl HeldLeases {
    /// `span`: seconds that the store grants a slice for.
    pub fn new(span: Seconds) -> HeldLeases {
        HeldLeases { span, ..HeldLeases::default() }
    }

    pub fn span(&self) -> Seconds {
        self.span
    }

    /// The store said yes to a question that was asked at `asked`. An answer that came too late holds nothing.
    pub fn granted(&mut self, now: Seconds, asked: Seconds, slices: &[(u16, Epoch)]) {
        let until = asked + self.span * (1.0 - DRIFT);
        self.renewed = self.renewed.max(asked);
        for (slice, epoch) in slices.iter().filter(|_| until > now) {
            let known = self.lease_store.get(slice).copied();
            // Answers may come out of order: an older epoch says nothing.
            if known.is_none_or(|known| known.epoch <= *epoch) {
                let until =
                    known.filter(|known| known.epoch == *epoch).map_or(until, |known| known.until.max(until));
                self.lease_store.insert(*slice, Lease { epoch: *epoch, until });
            }
        }
    }

    /// The store said that these are not ours.
    pub fn refused(&mut self, slices: &[u16]) {
        slices.iter().for_each(|slice| _ = self.lease_store.remove(slice));
    }

    /// We give it up: from now on nothing is ordered for it.
    pub fn release_slice(&mut self, slice: u16) -> Option<Epoch> {
        self.lease_store.remove(&slice).map(|grant| grant.epoch)
    }

    /// Takes out the slices whose time is over.
    pub fn take_expired(&mut self, now: Seconds) -> Vec<u16> {
        let over: Vec<u16> =
            self.lease_store.iter().filter(|(_, grant)| grant.until <= now).map(|(s, _)| *s).collect();
        over.iter().for_each(|slice| _ = self.lease_store.remove(slice));
        over
    }

    /// The epoch under which a slice may be ordered at this moment, if it may be.
    pub fn valid_epoch(&self, now: Seconds, slice: u16) -> Option<Epoch> {
        self.lease_store.get(&slice).filter(|grant| now < grant.until).map(|grant| grant.epoch)
    }

    pub fn held(&self) -> impl Iterator<Item = (u16, Epoch)> + '_ {
        self.lease_store.iter().map(|(slice, grant)| (*slice, grant.epoch))
    }

    pub fn count(&self) -> usize {
        self.lease_store.len()
    }

    /// When the leases should be renewed next, on this steward's clock.
    pub fn renewal_due_at(&self) -> Seconds {
        self.renewed + self.span * (1.0 - DRIFT) * (1.0 - RENEW_AT)
    }

    /// When the first of them ends, if any is held.
    pub fn earliest_expiry(&self) -> Option<Seconds> {
        self.lease_store.values().map(|grant| grant.until).min_by(Seconds::total_cmp)
    }
}

/// What a proxy or a host keeps of a slice, so that no order of a former steward is obeyed: fencing.
#[derive(Clone, Debug, Default)]
pub struct Fence {
    newest: BTreeMap<u32, Epoch>,
}

impl Fence {
    /// Whether an order under this epoch may be obeyed; a newer one shuts out those before.
    pub fn passes(&mut self, slice: u32, epoch: Epoch) -> bool {
        let newest = self.newest.entry(slice).or_default();
        *newest = (*newest).max(epoch);
        *newest == epoch
    }

    pub fn newest(&self, slice: u32) -> Epoch {
        self.newest.get(&slice).copied().unwrap_or_default()
    }
}

/// The store's side of a slice: who holds it, until when on the store's clock. Linearisable as long as one store
/// changes it at a time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LeaseRecord {
    pub epoch: Epoch,
    /// The process that holds it: a steward that starts again is another one.
    pub holder: Option<u64>,
    pub until: Seconds,
}

impl LeaseRecord {
    pub fn is_held(&self, now: Seconds) -> bool {
        self.holder.is_some() && now < self.until
    }

    /// Grants or renews it; `None`: another holds it.
    pub fn ask(&mut self, now: Seconds, process: u64, span: Seconds) -> Option<Epoch> {
        let is_ours = self.holder == Some(process);
        if self.is_held(now) && !is_ours {
            return None;
        }
        // A lease of ours that lapsed unseen by others is renewed as it was: nobody else was granted it.
        if !is_ours {
            self.epoch.0 += 1;
        }
        (self.holder, self.until) = (Some(process), now + span);
        Some(self.epoch)
    }

    /// Free for anyone from now on, if it is the asker's.
    pub fn release(&mut self, process: u64, epoch: Epoch) -> bool {
        let is_ours = self.holder == Some(process) && self.epoch == epoch;
        if is_ours {
            self.holder = None;
        }
        is_ours
    }

    /// Whether a table that comes under this epoch may be written.
    pub fn may_write(&self, epoch: Epoch) -> bool {
        epoch == self.epoch
    }
}

#[cfg(test)]
mod tests;
