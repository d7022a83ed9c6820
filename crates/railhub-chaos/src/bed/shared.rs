//! Stewards that share slices, as processes: a small fleet of stand-ins under load, with the faults that are drawn in
//! simulated time. Played as a day, so that every connection is through a relay and what crossed is judged from a record.
use crate::faults::{Chaos, Fault, What};
use crate::world::FLAP;
use crate::Sabotage;
use railhub_ini::{Diagnostic, Document};
use railhub_scenario::stewards::TestClock;
use railhub_scenario::troubles::{Act, CutWay, Trouble};
use railhub_scenario::Day;

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
) -> Result<(Day, Vec<What>), Diagnostic> {
    let mut day = Day::read(&Document::parse("the fleet of a chaos run", FLEET)?)?;
    (day.seed, day.name) = (seed, format!("{}, seed {seed}", chaos.name));
    (day.stewards, day.lease) = (usize::from(chaos.stewards), chaos.span);
    (day.slices, day.limits.slices) = (u32::from(chaos.slices), u32::from(chaos.slices));
    day.proxies = chaos.proxies as usize;
    day.limits.proxies = u32::from(chaos.proxies);
    let ends = faults.iter().map(|fault| fault.at + fault.long.min(chaos.length)).fold(0.0, f64::max);
    day.length = chaos.length.max(ends + CALM);
    day.broken_store.reuses_epochs = sabotage == Some(Sabotage::EpochReused);
    day.broken_store.skips_write_check = sabotage == Some(Sabotage::UncheckedWrites);
    day.stewards_without = (sabotage == Some(Sabotage::LeaseOverrun)).then_some("lease end");
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
            day.troubles.extend(troubles);
        }
    }
    Ok((day, left_out))
}

fn clock(day: &mut Day, steward: u16) -> &mut TestClock {
    let stewards = day.stewards;
    day.clocks.resize(stewards, TestClock::default());
    &mut day.clocks[usize::from(steward)]
}

fn trouble(at: f64, long: f64, act: Act) -> Trouble {
    Trouble { name: format!("{act:?}"), kind: "chaos".into(), at, long, act }
}

fn troubles(fault: &Fault) -> Vec<Trouble> {
    let Fault { at, long, what } = fault;
    let act = match what {
        What::Kill { steward } => Act::StewardKilled { steward: usize::from(*steward) },
        What::Pause { steward } => Act::StewardPaused { steward: usize::from(*steward) },
        What::Cut { from, to } => Act::StewardWay { from: usize::from(*from), to: usize::from(*to) },
        What::Split { side } => {
            Act::StewardsSplit { side: (0..32).filter(|steward| side >> steward & 1 == 1).collect() }
        }
        What::StoreAway => Act::StoreAway,
        What::StoreLosesAnswers => Act::StoreLosesAnswers,
        What::CutStore { steward } => {
            let from = vec!["store".to_owned()];
            Act::StewardCut { steward: usize::from(*steward), from, way: CutWay::Both }
        }
        What::StoreSlow { by } => Act::StoreSlow { by: *by },
        What::StoreForgets { by } => Act::StoreForgets { by: *by },
        What::SlowOrders { steward, by } => Act::SlowOrders { steward: usize::from(*steward), by: *by },
        What::Drain { steward } => Act::StewardDrained { steward: usize::from(*steward) },
        What::Flap { steward } => {
            let act = Act::StewardKilled { steward: usize::from(*steward) };
            let turns = (long / (2.0 * FLAP)).ceil().max(1.0) as u32;
            let one = |turn| trouble(at + f64::from(turn) * 2.0 * FLAP, FLAP, act.clone());
            return (0..turns).map(one).collect();
        }
        _ => return Vec::new(),
    };
    vec![trouble(*at, *long, act)]
}
