//! Draws the faults of a run from its seed. The order of the draws must not change, so that a seed gives the same run in
//! every version.
use super::kind::{Fault, FaultKind, LinkFaults};
use crate::config::{ChaosConfig, JudgedProperty};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Seconds without faults at the start of a run, so that all slices are acquired first, and at its end.
const CALM_TIME: f64 = 6.0;
/// Durations of a pause in seconds: shorter than a lease, longer, and much longer.
const PAUSE_DURATIONS: [f64; 3] = [1.0, 5.0, 30.0];
/// Durations of a partition in seconds: the first is too short for a member to be declared dead, the others are long
/// enough.
const PARTITION_DURATIONS: [f64; 3] = [2.0, 10.0, 25.0];
/// Maximum drift of a clock, fast or slow, as a fraction of its rate.
const MAX_DRIFT_FRACTION: f64 = 0.05;
/// Maximum jump of a clock in seconds, forwards or backwards.
const MAX_CLOCK_JUMP: f64 = 20.0;
/// Maximum delay of commands to proxies, in seconds.
const MAX_COMMAND_DELAY: f64 = 3.0;
/// Maximum time in seconds for which the store loses its responses.
const MAX_LOST_RESPONSES_DURATION: f64 = 3.0;
/// Maximum age in seconds of the copy from which the store restarts.
const MAX_STORE_COPY_AGE: f64 = 10.0;
/// Number of datagrams in a flood.
const FLOOD_DATAGRAMS: u32 = 2000;

impl ChaosConfig {
    /// The faults of a run, ordered by time: those that the file lists, or else those drawn from the seed.
    pub fn faults(&self, seed: u64) -> Vec<Fault> {
        if !self.listed_faults.is_empty() {
            return self.listed_faults.clone();
        }
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(0..=self.max_faults);
        let mut faults = Vec::with_capacity(count);
        for _ in 0..count {
            faults.push(match self.judged {
                JudgedProperty::Leases => draw_lease_fault(self, &mut rng),
                JudgedProperty::View => draw_view_fault(self, &mut rng),
            });
        }
        faults.sort_by(|a, b| a.at.total_cmp(&b.at));
        faults
    }
}

fn draw_start(config: &ChaosConfig, rng: &mut ChaCha8Rng) -> f64 {
    CALM_TIME + rng.random::<f64>() * (config.length - 2.0 * CALM_TIME).max(0.0)
}

fn draw_duration(rng: &mut ChaCha8Rng) -> f64 {
    1.0 + rng.random::<f64>() * 9.0
}

fn choose_duration(durations: [f64; 3], rng: &mut ChaCha8Rng) -> f64 {
    durations[rng.random_range(0..durations.len())]
}

/// Draws a fault for a run whose views are judged. `magnitude` is between 0 and 1.
fn draw_view_fault(config: &ChaosConfig, rng: &mut ChaCha8Rng) -> Fault {
    let at = draw_start(config, rng);
    let default_duration = draw_duration(rng);
    let controller = rng.random_range(0..config.controllers);
    let other = (controller + rng.random_range(1..config.controllers.max(2))) % config.controllers;
    let magnitude = rng.random::<f64>();
    let faults = LinkFaults {
        loss: 0.4 * magnitude,
        duplication: 0.2 * rng.random::<f64>(),
        reordering: 0.3 * rng.random::<f64>(),
        delay: 0.02 * rng.random::<f64>(),
        jitter: 0.03 * rng.random::<f64>(),
    };
    let (duration, kind) = match rng.random_range(0..22u32) {
        0 | 1 => (default_duration, FaultKind::Kill { controller }),
        2 => (choose_duration(PAUSE_DURATIONS, rng), FaultKind::Pause { controller }),
        3 => (default_duration, FaultKind::Cut { from: controller, to: other }),
        4 | 17 => {
            let side = rng.random_range(1..(1u32 << config.controllers).max(3) - 1);
            (choose_duration(PARTITION_DURATIONS, rng), FaultKind::Partition { side })
        }
        5 | 18 => (choose_duration(PARTITION_DURATIONS, rng), FaultKind::Partition { side: 1 << controller }),
        6 | 7 => (default_duration, FaultKind::Links { faults }),
        8 => (default_duration, FaultKind::Starve { controller, running_fraction: 0.1 + 0.5 * magnitude }),
        9 => (0.0, FaultKind::Move { controller }),
        10 => (0.0, FaultKind::Replay),
        11 => (default_duration, FaultKind::Flap { controller }),
        12 => (default_duration, FaultKind::Leave { controller }),
        13 => (0.3 + 0.4 * magnitude, FaultKind::Kill { controller }),
        14 => (default_duration, FaultKind::RestartWithLowerNumber { controller }),
        // Each controller belongs to one possible pair only, so that every other controller reaches both of a pair.
        15 | 16 | 19..=21 if controller ^ 1 < config.controllers => {
            (0.0, FaultKind::SeparatePair { a: controller, b: controller ^ 1 })
        }
        _ => (0.0, FaultKind::Flood { controller, count: FLOOD_DATAGRAMS }),
    };
    Fault { at, duration, kind }
}

/// Draws a fault for a run whose leases are judged. `magnitude` is between -1 and 1.
fn draw_lease_fault(config: &ChaosConfig, rng: &mut ChaCha8Rng) -> Fault {
    let at = draw_start(config, rng);
    let default_duration = draw_duration(rng);
    let controller = rng.random_range(0..config.controllers);
    let other = rng.random_range(0..config.controllers);
    let magnitude = rng.random::<f64>() * 2.0 - 1.0;
    let abs_magnitude = magnitude.abs();
    let (duration, kind) = match rng.random_range(0..15u32) {
        0 | 1 => (default_duration, FaultKind::Kill { controller }),
        2 | 3 => (choose_duration(PAUSE_DURATIONS, rng), FaultKind::Pause { controller }),
        4 => (default_duration, FaultKind::Cut { from: controller, to: other }),
        5 => {
            let side = rng.random_range(1..(1u32 << config.controllers).max(2));
            (default_duration, FaultKind::Partition { side })
        }
        6 => (default_duration, FaultKind::StoreUnavailable),
        7 => (default_duration, FaultKind::StoreSlow { delay: 0.1 + 0.7 * abs_magnitude }),
        13 => (default_duration, FaultKind::CutStore { controller }),
        14 => (default_duration.min(MAX_LOST_RESPONSES_DURATION), FaultKind::StoreLosesResponses),
        12 => (0.0, FaultKind::StoreRollback { age: MAX_STORE_COPY_AGE * abs_magnitude }),
        8 => (config.length, FaultKind::ClockDrift { controller, fraction: MAX_DRIFT_FRACTION * magnitude }),
        9 => (0.0, FaultKind::ClockJump { controller, seconds: MAX_CLOCK_JUMP * magnitude }),
        10 => (
            default_duration,
            FaultKind::SlowCommands { controller, max_delay: MAX_COMMAND_DELAY * abs_magnitude },
        ),
        _ if magnitude < 0.0 => (default_duration, FaultKind::Flap { controller }),
        _ => (0.0, FaultKind::Drain { controller }),
    };
    Fault { at, duration, kind }
}
