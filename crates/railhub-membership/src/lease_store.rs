//! The store's side of leases: who holds which slice under which epoch, and whose table may be written. No I/O and no
//! clock: the stand-in store and the simulated one drive the same code, one question at a time.
//!
//! *A restart from an older copy* of its state must be noticed, since epochs never go back. Two things see to it:
//! each start has a base, and epochs granted since are above it; and a steward that renews names the epoch it holds,
//! so a store that has never heard of it knows that it is behind. After a start nothing is granted anew for the
//! longest span that it ever grants: whoever holds something that the copy does not know of has renewed it by then,
//! and is taken at its word, or has stopped. That span is the store's own, fixed figure (the explorer found that the
//! longest one *so far* is not enough: a copy may know of none).
use crate::lease::LeaseRecord;
use crate::lease_manager::{LeaseRequest, LeaseResponse};
use crate::{Epoch, Seconds};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Epochs of one start: a million grants of one slice. Starts are told apart by seconds since 1970.
const EPOCHS_PER_START: u64 = 1 << 20;
/// Slices that the store answers for.
const MAX_SLICES: usize = 1 << 16;

/// What the judge must find: a store that is broken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreFaults {
    /// A slice is granted anew under the epoch it had.
    pub reuses_epochs: bool,
    /// Tables are written under any epoch.
    pub writes_unchecked: bool,
    /// It grants at once after it started from an older copy.
    pub not_quiet: bool,
}

/// What follows from a question.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeaseDecision {
    pub response: LeaseResponse,
    /// Granted to another process than before, or after a break.
    pub anew: Vec<(u16, Epoch)>,
}

/// All holdings; what a copy holds of them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeaseStore {
    holdings: BTreeMap<u16, LeaseRecord>,
    /// Epochs granted since this start are at least this.
    base: u64,
    /// Seconds of the longest lease that it grants; questions for longer ones are refused.
    longest: Seconds,
    /// Nothing is granted anew before.
    quiet_until: Seconds,
    pub broken: StoreFaults,
}

impl LeaseStore {
    /// A store that starts for the first time.
    pub fn new(longest: Seconds, broken: StoreFaults) -> LeaseStore {
        LeaseStore { longest, broken, ..LeaseStore::default() }
    }

    /// Starts again from what was kept, which may be older than what was last granted.
    /// `start`: seconds since 1970, higher than at the start before.
    pub fn restart(&self, now: Seconds, start: u64) -> LeaseStore {
        let base = (start.saturating_mul(EPOCHS_PER_START)).max(self.base + 1);
        let quiet = if self.broken.not_quiet { 0.0 } else { self.longest };
        let mut again = LeaseStore { base, quiet_until: now + quiet, ..self.clone() };
        // Whom the copy names may have lost the slice since: it holds it if it renews, and not because of the copy.
        again.holdings.values_mut().for_each(|held| (held.holder, held.until) = (None, now));
        again
    }

    fn is_quiet(&self, now: Seconds) -> bool {
        now < self.quiet_until
    }

    /// Releases, renews and takes, in this order, in one step.
    pub fn answer(&mut self, now: Seconds, request: &LeaseRequest) -> LeaseDecision {
        let mut answer = LeaseDecision::default();
        answer.response.number = request.number;
        let span = request.span;
        // What it would count shorter than the asker does must not be granted at all.
        if !(0.0..=self.longest).contains(&span) {
            answer.response.refused =
                request.take.iter().copied().chain(request.renew.iter().map(|held| held.0)).collect();
            return answer;
        }
        for (slice, epoch) in &request.release {
            self.holdings
                .get_mut(slice)
                .into_iter()
                .for_each(|held| _ = held.release(request.process, *epoch));
        }
        for (slice, epoch) in &request.renew {
            match self.renew(now, request.process, span, *slice, *epoch) {
                true => answer.response.granted.push((*slice, *epoch)),
                false => answer.response.refused.push(*slice),
            }
        }
        for slice in &request.take {
            match self.take(now, request.process, span, *slice) {
                Some((epoch, anew)) => {
                    answer.response.granted.push((*slice, epoch));
                    answer.anew.extend(anew.then_some((*slice, epoch)));
                }
                None => answer.response.refused.push(*slice),
            }
        }
        answer
    }

    fn renew(&mut self, now: Seconds, process: u64, span: Seconds, slice: u16, epoch: Epoch) -> bool {
        let quiet = self.is_quiet(now);
        let Some(held) = self.holding(slice) else { return false };
        if held.holder == Some(process) && held.epoch == epoch {
            return held.ask(now, process, span).is_some();
        }
        // While the store is quiet nobody was given the slice since: who renews it last had it.
        if quiet && epoch >= held.epoch && (held.holder.is_none() || epoch > held.epoch) {
            *held = LeaseRecord { epoch, holder: Some(process), until: now + span };
            return true;
        }
        // It is behind, and this comes too late to be believed: what it grants next is above it.
        if epoch > held.epoch {
            *held = LeaseRecord { epoch, holder: None, until: now };
        }
        false
    }

    fn take(&mut self, now: Seconds, process: u64, span: Seconds, slice: u16) -> Option<(Epoch, bool)> {
        let (quiet, base, reuses) = (self.is_quiet(now), self.base, self.broken.reuses_epochs);
        let held = self.holding(slice)?;
        let before = *held;
        if quiet {
            return None;
        }
        let mut epoch = held.ask(now, process, span)?;
        let anew = before.holder != Some(process);
        if anew {
            epoch = Epoch(epoch.0.max(base));
            if reuses && before.epoch.0 > 0 {
                epoch = before.epoch;
            }
            held.epoch = epoch;
        }
        Some((epoch, anew))
    }

    /// `None`: more slices than the store answers for.
    fn holding(&mut self, slice: u16) -> Option<&mut LeaseRecord> {
        let full = self.holdings.len() >= MAX_SLICES && !self.holdings.contains_key(&slice);
        (!full).then(|| self.holdings.entry(slice).or_default())
    }

    /// Whether a table may be written: compare-and-set on the epoch. One that was released may still be written
    /// under its last epoch until it is granted anew.
    pub fn may_write(&self, slice: u16, epoch: Epoch) -> bool {
        self.broken.writes_unchecked
            || self.holdings.get(&slice).map_or(epoch == Epoch(0), |held| held.may_write(epoch))
    }

    pub fn record(&self, slice: u16) -> Option<&LeaseRecord> {
        self.holdings.get(&slice)
    }
}

#[cfg(test)]
mod tests;
