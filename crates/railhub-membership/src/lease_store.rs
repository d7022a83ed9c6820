//! The store's side of leases: who holds which slice under which epoch, and whose table may be written. Free of I/O and
//! of clocks: the emulated store and the simulated one drive the same code, one request at a time.
//!
//! # Restarts
//!
//! Epochs must never go back, also when the store restarts from an older copy of its state:
//! - Each start has a base above the epochs of all earlier starts, and new grants are at the base or above.
//! - A renewal names the epoch that the holder has, so a store that does not know that epoch knows that it is behind.
//! - After a start there is a grace period of the longest lease that the store ever grants, in which it grants nothing
//!   new and accepts renewals. Whoever holds what the copy does not know of has renewed it by then, or has stopped. The
//!   period is fixed: the longest lease that the copy knows of may be shorter than one that was granted since.
//!
//! A slice, in the store's view: Free -> Held (granted: epoch + 1) -> Held (renewed: same epoch) -> Free (released, or
//! expired) -> Held (granted again: epoch + 1; the same epoch only for the process whose lease expired).
use crate::lease_messages::{LeaseRequest, LeaseResponse};
use crate::lease_record::LeaseRecord;
use crate::{Epoch, Seconds};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Epochs of one start: a million grants of one slice. Starts are numbered by seconds since 1970.
const EPOCHS_PER_START: u64 = 1 << 20;
/// Slices that the store answers for.
const MAX_SLICES: usize = 1 << 16;

/// Faults of the store that a test injects, for its checks to find.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreFaults {
    /// A slice is granted again under the epoch that it had.
    pub reuses_epochs: bool,
    /// Tables are written under any epoch.
    #[serde(rename = "writes_unchecked")]
    pub skips_write_check: bool,
    /// There is no grace period after a restart.
    #[serde(rename = "not_quiet")]
    pub skips_grace_period: bool,
}

/// What came of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeaseDecision {
    /// The response to the requester.
    pub response: LeaseResponse,
    /// Slices granted to another process than before, with their epochs.
    pub acquired: Vec<(u16, Epoch)>,
}

/// A grant of a slice to a process that requested it.
struct Grant {
    epoch: Epoch,
    /// The process did not hold it before.
    is_new: bool,
}

/// The store's records of all slices.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeaseStore {
    records: BTreeMap<u16, LeaseRecord>,
    /// Epochs granted since this start are at least this.
    epoch_base: u64,
    /// Seconds of the longest lease that is granted; requests for longer ones are refused.
    max_duration: Seconds,
    /// End of the grace period.
    grace_until: Seconds,
    faults: StoreFaults,
}

impl LeaseStore {
    /// A store that starts for the first time. `max_duration`: seconds of the longest lease that it grants.
    pub fn new(max_duration: Seconds, faults: StoreFaults) -> LeaseStore {
        LeaseStore { max_duration, faults, ..LeaseStore::default() }
    }

    /// The store after a restart from this copy of its state, which may be older than the last grant.
    /// `start`: seconds since 1970, higher than at the start before.
    pub fn restart(&self, now: Seconds, start: u64) -> LeaseStore {
        let epoch_base = start.saturating_mul(EPOCHS_PER_START).max(self.epoch_base + 1);
        let grace = if self.faults.skips_grace_period { 0.0 } else { self.max_duration };
        let mut store = LeaseStore { epoch_base, grace_until: now + grace, ..self.clone() };
        // A holder that the copy names may have lost the slice since. If it still holds the slice it renews it.
        for record in store.records.values_mut() {
            record.holder = None;
            record.expires_at = now;
        }
        store
    }

    fn is_in_grace_period(&self, now: Seconds) -> bool {
        now < self.grace_until
    }

    /// Decides a request in one step: first releases, then renewals, then acquisitions.
    pub fn handle_request(&mut self, now: Seconds, request: &LeaseRequest) -> LeaseDecision {
        let mut decision = LeaseDecision::default();
        let response = &mut decision.response;
        response.number = request.number;
        // A lease that the store counts shorter than its holder does must not be granted.
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
        // In the grace period nothing is granted anew: the process with the highest epoch held the slice last.
        let held_it_last = epoch > record.epoch || (epoch == record.epoch && record.holder.is_none());
        if in_grace_period && held_it_last {
            *record = LeaseRecord { epoch, holder: Some(process), expires_at: now + duration };
            return true;
        }
        // The store is behind, and this comes too late to be accepted: the next grant is above it.
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

    /// `None`: there are more slices than the store answers for.
    fn record_mut(&mut self, slice: u16) -> Option<&mut LeaseRecord> {
        let is_full = self.records.len() >= MAX_SLICES && !self.records.contains_key(&slice);
        (!is_full).then(|| self.records.entry(slice).or_default())
    }

    /// Whether a table may be written: compare-and-set on the epoch. A released slice may still be written under its
    /// last epoch until it is granted again.
    pub fn may_write(&self, slice: u16, epoch: Epoch) -> bool {
        if self.faults.skips_write_check {
            return true;
        }
        match self.records.get(&slice) {
            Some(record) => record.may_write(epoch),
            None => epoch == Epoch(0),
        }
    }

    /// The record of a slice, if one was ever requested.
    pub fn record(&self, slice: u16) -> Option<&LeaseRecord> {
        self.records.get(&slice)
    }
}

#[cfg(test)]
mod tests;
