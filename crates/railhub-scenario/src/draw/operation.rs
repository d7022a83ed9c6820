//! One operation, and the faults that change operations.
use super::random::{log_normal, weighted_index};
use crate::fault::{FaultKind, GiveUpReaction, ScheduledFault, ShiftTarget};
use crate::scenario::Scenario;
use railhub_emulator::PlannedOperation;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Lowest hot key, above all drawn keys.
const FIRST_HOT_KEY: u64 = u64::MAX / 2;
/// Distance between the slices of successive hot keys.
const HOT_KEY_SLICE_STEP: usize = 7;
/// Slice of the first hot key.
const HOT_KEY_SLICE_OFFSET: usize = 3;

/// An operation, the time at which it begins, and the proxy that receives it.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Seconds from the start of the scenario.
    pub at: f64,
    /// Index of the proxy.
    pub proxy: usize,
    /// The operation.
    pub drawn: PlannedOperation,
}

/// An operation that faults may still change.
pub(crate) struct PendingOperation {
    pub class: usize,
    pub slice: usize,
    pub key: u64,
    /// Factor by which the drawn work is multiplied.
    pub work_factor: f64,
    /// Fraction of the hard stop after which the client stops waiting.
    pub wait_fraction: f64,
    /// The client sends one more request after it has stopped waiting.
    pub client_returns: bool,
    /// Weights of the zones at which it can begin.
    pub zone_weights: Vec<f64>,
}

impl PendingOperation {
    /// An operation that no fault has changed.
    pub fn new(class: usize, slice: usize, key: u64, zone_weights: Vec<f64>) -> PendingOperation {
        PendingOperation {
            class,
            slice,
            key,
            work_factor: 1.0,
            wait_fraction: 1.0,
            client_returns: false,
            zone_weights,
        }
    }

    /// Applies the faults that change operations. One number is drawn for each fault, whether it applies or not.
    pub fn apply_faults(&mut self, scenario: &Scenario, at: f64, slices: usize, random: &mut ChaCha8Rng) {
        for fault in &scenario.faults {
            let draw = random.random::<f64>();
            if fault.is_active(at) {
                self.apply_active(scenario, &fault.kind, draw, slices);
            }
            self.apply_shift(scenario, fault, at, draw);
        }
    }

    fn apply_active(&mut self, scenario: &Scenario, kind: &FaultKind, draw: f64, slices: usize) {
        match kind {
            FaultKind::HotKey { fraction, keys } if draw < *fraction => {
                let hot_key = (draw / fraction * *keys as f64) as usize;
                self.slice = (hot_key * HOT_KEY_SLICE_STEP + HOT_KEY_SLICE_OFFSET) % slices;
                self.key = FIRST_HOT_KEY + hot_key as u64;
            }
            FaultKind::HeavyOperations { fraction, factor } if draw < *fraction => self.work_factor *= factor,
            FaultKind::ClientsGiveUp { fraction, contract_time_multiple, reaction } if draw < *fraction => {
                let class = &scenario.classes[self.class].properties;
                self.wait_fraction =
                    (contract_time_multiple * class.contract_time / class.hard_stop).min(1.0);
                self.client_returns = *reaction == GiveUpReaction::ExtraRequest;
            }
            _ => {}
        }
    }

    /// Applies a shift of traffic, which grows while its fault is active and remains afterwards.
    fn apply_shift(&mut self, scenario: &Scenario, fault: &ScheduledFault, at: f64, draw: f64) {
        let FaultKind::TrafficShift { fraction, target } = fault.kind else { return };
        let moved = fraction * fault.progress(at);
        match target {
            ShiftTarget::Zone(zone) => self.move_to_zone(zone as usize, moved),
            ShiftTarget::HeaviestClass if draw < moved => self.class = heaviest_class(scenario),
            ShiftTarget::HeaviestClass => {}
        }
    }

    fn move_to_zone(&mut self, zone: usize, moved: f64) {
        for (index, weight) in self.zone_weights.iter_mut().enumerate() {
            let gained = if index == zone { moved } else { 0.0 };
            *weight = *weight * (1.0 - moved) + gained;
        }
    }

    /// Draws the work of the operation from the distribution of its class, in core seconds, without the factor.
    pub fn draw_work(&self, scenario: &Scenario, random: &mut ChaCha8Rng) -> f64 {
        let class = &scenario.classes[self.class];
        log_normal(random, class.work, class.work_cv)
    }

    /// Draws the zone in which it begins.
    pub fn draw_zone(&self, random: &mut ChaCha8Rng) -> usize {
        weighted_index(random, &self.zone_weights)
    }

    /// The operation for its client. `work` is in core seconds, without the factor.
    pub fn finish(&self, operation: u64, work: f64) -> PlannedOperation {
        PlannedOperation {
            operation,
            class: self.class as u32,
            key: self.key,
            slice: self.slice as u32,
            work: self.work_factor * work,
            max_request_timeout_fraction: self.wait_fraction,
            extra_retry: self.client_returns,
        }
    }
}

fn heaviest_class(scenario: &Scenario) -> usize {
    let work = |class: &usize| scenario.classes[*class].work;
    (0..scenario.classes.len()).max_by(|a, b| work(a).total_cmp(&work(b))).unwrap_or(0)
}
