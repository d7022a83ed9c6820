//! Determines when a run must have settled, when it ends, and when its faults were observed.
use crate::fault::{Fault, FaultKind};
use crate::view::observation::ViewObservation;

/// Seconds after the last fault within which every view must be correct again. Dead members are probed at least every
/// 9.6 s, a member with poor local health detects a death within about 4 s, and gossip reaches all members within 1 s.
pub const SETTLING_TIMEOUT: f64 = 15.0;
/// Seconds after the settling timeout for which the views are observed, to check that they remain correct.
pub const OBSERVED_TIME: f64 = 4.0;
/// Seconds after the end of the last fault for processes to restart, for a replay to finish, and for the last half period
/// of a flap.
const RESTART_TIME: f64 = 2.0;

/// Loss probability from which on live members may be declared dead.
const DISTURBING_LOSS: f64 = 0.05;
/// Delay in seconds above which live members may be declared dead.
const DISTURBING_DELAY: f64 = 0.06;

/// The end of a run with these faults, in seconds; the run lasts at least `length` seconds.
pub fn end_of_run(length: f64, faults: &[Fault]) -> f64 {
    let last_end = faults.iter().map(|fault| fault.at + fault.duration).fold(0.0, f64::max);
    length.max(last_end + RESTART_TIME + SETTLING_TIMEOUT + OBSERVED_TIME)
}

/// The faults of a run with the times at which they were observed to begin and end. A fault whose end was not observed has
/// its planned duration.
pub fn observed_faults(observations: &[ViewObservation], planned: &[Fault]) -> Vec<Fault> {
    let mut faults: Vec<Fault> = Vec::new();
    let mut ended: Vec<bool> = Vec::new();
    for observation in observations {
        let ViewObservation::Fault { at, begins, fault: kind } = observation else { continue };
        if *begins {
            let duration =
                planned.iter().find(|fault| fault.kind == *kind).map_or(0.0, |fault| fault.duration);
            faults.push(Fault { at: *at, duration, kind: kind.clone() });
            ended.push(false);
            continue;
        }
        let first_open = (0..faults.len()).find(|index| !ended[*index] && faults[*index].kind == *kind);
        if let Some(index) = first_open {
            faults[index].duration = at - faults[index].at;
            ended[index] = true;
        }
    }
    faults
}

/// Whether live members may be declared dead while a fault lasts.
pub fn may_cause_false_deaths(kind: &FaultKind) -> bool {
    match kind {
        FaultKind::Links { faults } => {
            faults.loss >= DISTURBING_LOSS || faults.delay + faults.jitter > DISTURBING_DELAY
        }
        FaultKind::Flood { .. } | FaultKind::Replay | FaultKind::SeparatePair { .. } => false,
        _ => true,
    }
}
