//! The lease store in simulated time, with copies of its earlier states from which it can restart.
use railhub_membership::lease_messages::LeaseRequest;
use railhub_membership::lease_store::{LeaseDecision, LeaseStore, StoreFaults};
use std::collections::VecDeque;

/// Seconds between two copies of the store's state.
const COPY_INTERVAL: f64 = 0.5;
/// Maximum number of copies; the oldest is dropped first.
const MAX_COPIES: usize = 64;
/// Start number of a store that restarts at the beginning of the run, in seconds since 1970. The value is arbitrary.
const FIRST_START_SECONDS: u64 = 1000;

struct StoreCopy {
    at: f64,
    store: LeaseStore,
}

pub(super) struct SimulatedStore {
    store: LeaseStore,
    /// Copies of the state, the oldest first.
    copies: VecDeque<StoreCopy>,
}

impl SimulatedStore {
    pub fn new(lease_duration: f64, reuses_epochs: bool) -> SimulatedStore {
        let faults = StoreFaults { reuses_epochs, ..StoreFaults::default() };
        SimulatedStore { store: LeaseStore::new(lease_duration, faults), copies: VecDeque::new() }
    }

    pub fn handle_request(&mut self, now: f64, request: &LeaseRequest) -> LeaseDecision {
        self.copy_if_due(now);
        self.store.handle_request(now, request)
    }

    /// Restarts from the newest copy that is at least `age` seconds old; if there is none, from the oldest copy.
    pub fn restart_from_copy(&mut self, now: f64, age: f64) {
        let copied_by = now - age;
        let old_enough = self.copies.iter().rev().find(|copy| copy.at <= copied_by);
        let Some(copy) = old_enough.or(self.copies.front()) else { return };
        self.store = copy.store.restart(now, FIRST_START_SECONDS + now as u64);
    }

    fn copy_if_due(&mut self, now: f64) {
        let is_due = self.copies.back().is_none_or(|copy| now - copy.at >= COPY_INTERVAL);
        if !is_due {
            return;
        }
        self.copies.push_back(StoreCopy { at: now, store: self.store.clone() });
        if self.copies.len() > MAX_COPIES {
            self.copies.pop_front();
        }
    }
}
