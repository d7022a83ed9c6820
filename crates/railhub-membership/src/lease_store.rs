//! The store's side of leases: which process holds each slice under which epoch, and whose table may be written. It
//! does no I/O and reads no clock; the emulated store and the simulated one both use it, one request at a time.
//!
//! # Restarts
//!
//! Epochs must never decrease, even when the store restarts from an older copy of its state:
//! - Each start has an epoch base above the epochs of all earlier starts, and new grants use the base or a higher
//!   epoch.
//! - A renewal contains the holder's epoch, so a store that does not know that epoch detects that its copy is outdated.
//! - A restart begins with a grace period in which the store accepts renewals and makes no new grants. The period is as
//!   long as the longest lease that the store grants, so a holder that the copy does not know of has either renewed its
//!   lease or stopped by the end. The period does not depend on the copy, because the longest lease in the copy may be
//!   shorter than one that was granted later.
//!
//! State of a slice in the store: Free -> Held (granted: epoch + 1) -> Held (renewed: same epoch) -> Free (released or
//! expired) -> Held (granted again: epoch + 1, or the same epoch if it is the process whose lease expired).
use crate::lease_messages::{LeaseRequest, LeaseResponse};
use crate::lease_record::LeaseRecord;
use crate::{Epoch, Seconds};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Epochs reserved for each start: about a million grants of one slice. Starts are numbered in seconds since 1970.
const EPOCHS_PER_START: u64 = 1 << 20;
/// The most slices that the store keeps records of.
const MAX_SLICES: usize = 1 << 16;

/// Faults that a test injects into the store, to verify that its checks detect them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreFaults {
    /// A slice is granted to another process under the epoch that it had before.
    pub reuses_epochs: bool,
    /// Tables are accepted under any epoch.
    #[serde(rename = "writes_unchecked")]
    pub skips_write_check: bool,
    /// No grace period follows a restart.
    #[serde(rename = "not_quiet")]
    pub skips_grace_period: bool,
}

/// The outcome of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeaseDecision {
    /// The response to the requester.
    pub response: LeaseResponse,
    /// Slices granted to a process that was not their last recorded holder, with their epochs.
    pub acquired: Vec<(u16, Epoch)>,
}

/// A slice granted to the process that requested it.
struct Grant {
    epoch: Epoch,
    /// Whether the process was not the slice's last recorded holder.
    is_new: bool,
}

/// The store's records of all slices.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeaseStore {
    records: BTreeMap<u16, LeaseRecord>,
    /// Lowest epoch of a new grant since this start.
    epoch_base: u64,
    /// The longest lease that is granted, in seconds; requests for longer ones are refused.
    max_duration: Seconds,
    /// End of the grace period.
    grace_until: Seconds,
    faults: StoreFaults,
}

impl LeaseStore {
    /// A store that starts for the first time. `max_duration`: the longest lease that it grants, in seconds.
    pub fn new(max_duration: Seconds, faults: StoreFaults) -> LeaseStore {
        LeaseStore { max_duration, faults, ..LeaseStore::default() }
    }

    /// The store after a restart from this copy of its state, which may be older than the last grant.
    /// `start`: seconds since 1970, higher than at the previous start.
    pub fn restart(&self, now: Seconds, start: u64) -> LeaseStore {
        let epoch_base = start.saturating_mul(EPOCHS_PER_START).max(self.epoch_base + 1);
        let grace = if self.faults.skips_grace_period { 0.0 } else { self.max_duration };
        let mut store = LeaseStore { epoch_base, grace_until: now + grace, ..self.clone() };
        // A holder in the copy may have lost the slice since; if it still holds the slice, it renews the lease.
        for record in store.records.values_mut() {
            record.holder = None;
            record.expires_at = now;
        }
        store
    }

    fn is_in_grace_period(&self, now: Seconds) -> bool {
        now < self.grace_until
    }

    /// Processes a request in one step: first releases, then renewals, then acquisitions.
    pub fn handle_request(&mut self, now: Seconds, request: &LeaseRequest) -> LeaseDecision {
        let mut decision = LeaseDecision::default();
        let response = &mut decision.response;
        response.number = request.number;
        // The store must not count a lease as shorter than its holder does, so longer ones are refused, not shortened.
        if !(0.0..=self.max_duration).contains(&request.duration) {
            let renewals = request.renew.iter().map(|(slice, _)| *slice);
            response.refused = request.acquire.iter().copied().chain(renewals).collect();
            return decision;
        }
        for (slice, epoch) in &request.release {
            if let Some(record) = self.records.get_mut(slice) {
                record.release(request.process, *epoch);
            }
        }
        for (slice, epoch) in &request.renew {
            if self.renew(now, request, *slice, *epoch) {
                response.granted.push((*slice, *epoch));
            } else {
                response.refused.push(*slice);
            }
        }
        for slice in &request.acquire {
            let Some(Grant { epoch, is_new }) = self.acquire(now, request, *slice) else {
                response.refused.push(*slice);
                continue;
            };
            response.granted.push((*slice, epoch));
            if is_new {
                decision.acquired.push((*slice, epoch));
            }
        }
        decision
    }

    fn renew(&mut self, now: Seconds, request: &LeaseRequest, slice: u16, epoch: Epoch) -> bool {
        let LeaseRequest { process, duration, .. } = *request;
        let in_grace_period = self.is_in_grace_period(now);
        let Some(record) = self.record_mut(slice) else { return false };
        if record.holder == Some(process) && record.epoch == epoch {
            return record.grant(now, process, duration).is_some();
        }
        // No new grants are made in the grace period, so the process with the highest epoch was the last holder.
        let held_it_last = epoch > record.epoch || (epoch == record.epoch && record.holder.is_none());
        if in_grace_period && held_it_last {
            *record = LeaseRecord { epoch, holder: Some(process), expires_at: now + duration };
            return true;
        }
        // The store's copy is outdated, but the grace period is over: record the epoch so that the next grant exceeds
        // it.
        if epoch > record.epoch {
            *record = LeaseRecord { epoch, holder: None, expires_at: now };
        }
        false
    }

    fn acquire(&mut self, now: Seconds, request: &LeaseRequest, slice: u16) -> Option<Grant> {
        let in_grace_period = self.is_in_grace_period(now);
        let (epoch_base, reuses_epochs) = (self.epoch_base, self.faults.reuses_epochs);
        let record = self.record_mut(slice)?;
        if in_grace_period {
            return None;
        }
        let before = *record;
        let granted = record.grant(now, request.process, request.duration)?;
        if before.holder == Some(request.process) {
            return Some(Grant { epoch: granted, is_new: false });
        }
        record.epoch = match reuses_epochs && before.epoch.0 > 0 {
            true => before.epoch,
            false => Epoch(granted.0.max(epoch_base)),
        };
        Some(Grant { epoch: record.epoch, is_new: true })
    }

    /// The record of a slice, created if there is none. `None` if the store already has records of `MAX_SLICES` slices.
    fn record_mut(&mut self, slice: u16) -> Option<&mut LeaseRecord> {
        let is_full = self.records.len() >= MAX_SLICES && !self.records.contains_key(&slice);
        (!is_full).then(|| self.records.entry(slice).or_default())
    }

    /// Whether a table may be written under this epoch (compare-and-set: it must equal the slice's current epoch). A
    /// released slice may still be written under its last epoch until it is granted again.
    pub fn may_write(&self, slice: u16, epoch: Epoch) -> bool {
        if self.faults.skips_write_check {
            return true;
        }
        match self.records.get(&slice) {
            Some(record) => record.may_write(epoch),
            None => epoch == Epoch(0),
        }
    }

    /// The record of a slice, if any request has asked to acquire or renew it.
    pub fn record(&self, slice: u16) -> Option<&LeaseRecord> {
        self.records.get(&slice)
    }
}

#[cfg(test)]
mod tests;
