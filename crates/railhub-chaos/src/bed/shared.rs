//! Stewards that share slices, as processes: a small fleet of stand-ins under load, with the faults that are drawn in
//! simulated time. Played as a day, so that every connection is through a relay and what crossed is judged from a record.
use crate::faults::{Chaos, Fault, What};
use crate::world::FLAP;
use crate::Sabotage;
use railhub_ini::{Diagnostic, Document};
use railhub_scenario::fault::{CutDirection, FaultKind, ScheduledFault};
use railhub_scenario::scenario::TestClock;
use railhub_scenario::Scenario;

/// The fleet, but for its sizes: hosts that die and a deploy go on beside the stewards' faults.
const FLEET: &str = include_str!("shared.ini");
/// Seconds before the end by which the last fault is over.
const CALM: f64 = 6.0;

/// The day that plays these faults on processes; what cannot be caused there is left out and named.
///
/// # Errors
/// The sizes of the file do not make a day.
pub fn day(
    chaos: &Chaos,
    seed: u64,
    faults: &[Fault],
    sabotage: Option<Sabotage>,
) -> Result<(Scenario, Vec<What>), Diagnostic> {
    let mut day = Scenario::read(&Document::parse("the fleet of a chaos run", FLEET)?)?;
    (day.seed, day.name) = (seed, format!("{}, seed {seed}", chaos.name));
    (day.controllers, day.lease_duration) = (usize::from(chaos.stewards), chaos.span);
    (day.slices, day.limits.slices) = (u32::from(chaos.slices), u32::from(chaos.slices));
    day.proxies = chaos.proxies as usize;
    day.limits.proxies = u32::from(chaos.proxies);
    let ends = faults.iter().map(|fault| fault.at + fault.long.min(chaos.length)).fold(0.0, f64::max);
    day.length = chaos.length.max(ends + CALM);
    day.store_faults.reuses_epochs = sabotage == Some(Sabotage::EpochReused);
    day.store_faults.skips_write_check = sabotage == Some(Sabotage::UncheckedWrites);
    day.disabled_safeguard = (sabotage == Some(Sabotage::LeaseOverrun)).then_some("lease end");
    let mut left_out = Vec::new();
    for fault in faults {
        if let What::Drift { steward, by } = fault.what {
            clock(&mut day, steward).speed += by;
        } else if let What::Jump { steward, by } = fault.what {
            let clock = clock(&mut day, steward);
            (clock.jumps_after, clock.jumps_by) = (fault.at, by);
        } else {
            let troubles = troubles(fault);
            if troubles.is_empty() {
                left_out.push(fault.what.clone());
            }
            day.faults.extend(troubles);
        }
    }
    Ok((day, left_out))
}

fn clock(day: &mut Scenario, steward: u16) -> &mut TestClock {
    let controllers = day.controllers;
    day.clocks.resize(controllers, TestClock::default());
    &mut day.clocks[usize::from(steward)]
}

fn trouble(at: f64, duration: f64, kind: FaultKind) -> ScheduledFault {
    ScheduledFault { name: kind.recorded_note(), kind_name: "chaos".into(), at, duration, kind }
}

fn troubles(fault: &Fault) -> Vec<ScheduledFault> {
    let Fault { at, long, what } = fault;
    let act = match what {
        What::Kill { steward } => FaultKind::ControllerKilled { controller: usize::from(*steward) },
        What::Pause { steward } => FaultKind::ControllerPaused { controller: usize::from(*steward) },
        What::Cut { from, to } => {
            FaultKind::ControllerOneWayCut { from: usize::from(*from), to: usize::from(*to) }
        }
        What::Split { side } => FaultKind::ControllerPartition {
            side: (0..32).filter(|steward| side >> steward & 1 == 1).collect(),
        },
        What::StoreAway => FaultKind::StoreUnavailable,
        What::StoreLosesAnswers => FaultKind::StoreResponsesLost,
        What::CutStore { steward } => {
            let peers = vec!["store".to_owned()];
            FaultKind::ControllerIsolated {
                controller: usize::from(*steward),
                peers,
                direction: CutDirection::Both,
            }
        }
        What::StoreSlow { by } => FaultKind::StoreSlow { delay: *by },
        What::StoreForgets { by } => FaultKind::StoreRolledBack { age: *by },
        What::SlowOrders { steward, by } => {
            FaultKind::SlowUpdates { controller: usize::from(*steward), delay: *by }
        }
        What::Drain { steward } => FaultKind::ControllerDrained { controller: usize::from(*steward) },
        What::Flap { steward } => {
            let act = FaultKind::ControllerKilled { controller: usize::from(*steward) };
            let turns = (long / (2.0 * FLAP)).ceil().max(1.0) as u32;
            let one = |turn| trouble(at + f64::from(turn) * 2.0 * FLAP, FLAP, act.clone());
            return (0..turns).map(one).collect();
        }
        _ => return Vec::new(),
    };
    vec![trouble(*at, *long, act)]
}
