//! One operation, and the faults that lie in operations themselves.
use super::random::{log_normal, weighted_index};
use crate::fault::{FaultKind, GiveUpResponse, ScheduledFault, ShiftTarget};
use crate::scenario::Scenario;
use railhub_emulator::PlannedOperation;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Hot keys are above all drawn ones.
const FIRST_HOT_KEY: u64 = u64::MAX / 2;
/// Hot keys lie in slices this far apart, from this offset.
const HOT_KEY_SLICE_STEP: usize = 7;
const HOT_KEY_SLICE_OFFSET: usize = 3;

/// One operation, when it begins and at which proxy.
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
    /// Multiple of the work.
    pub work_factor: f64,
    /// Fraction of the hard stop that the client waits.
    pub patience: f64,
    /// The client returns after it has given up.
    pub comes_back: bool,
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
            patience: 1.0,
            comes_back: false,
            zone_weights,
        }
    }

    /// Applies the faults that lie in operations. Each fault takes one draw, whether it applies or not.
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
            FaultKind::ClientsGiveUp { fraction, patience, response } if draw < *fraction => {
                let facts = &scenario.classes[self.class].facts;
                self.patience = (patience * facts.contract_time / facts.hard_stop).min(1.0);
                self.comes_back = *response == GiveUpResponse::Leave;
            }
            _ => {}
        }
    }

    /// A shift grows while its fault is active, and stays.
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

    /// Work of the operation drawn by its class, in core seconds, without the factor.
    pub fn draw_work(&self, scenario: &Scenario, random: &mut ChaCha8Rng) -> f64 {
        let class = &scenario.classes[self.class];
        log_normal(random, class.work, class.work_cv)
    }

    /// The zone at which it begins.
    pub fn draw_zone(&self, random: &mut ChaCha8Rng) -> usize {
        weighted_index(random, &self.zone_weights)
    }

    /// The operation as its client runs it. `work` is in core seconds, without the factor.
    pub fn finish(&self, operation: u64, work: f64) -> PlannedOperation {
        PlannedOperation {
            operation,
            class: self.class as u32,
            key: self.key,
            slice: self.slice as u32,
            work: self.work_factor * work,
            max_request_timeout_fraction: self.patience,
            extra_retry: self.comes_back,
        }
    }
}

fn heaviest_class(scenario: &Scenario) -> usize {
    let work = |class: &usize| scenario.classes[*class].work;
    (0..scenario.classes.len()).max_by(|a, b| work(a).total_cmp(&work(b))).unwrap_or(0)
}
