//! A lease run on real processes: a small cluster of emulated hosts, proxies and clients under load, with the same faults
//! as the simulated run. It is played as a scenario, so that every connection passes through a relay and the traffic is
//! judged from a recording.
use crate::config::ChaosConfig;
use crate::fault::{Fault, FaultKind, FLAP_HALF_PERIOD};
use crate::lease::Sabotage;
use railhub_ini::{Diagnostic, Document};
use railhub_scenario::fault::{CutDirection, FaultKind as ScenarioFaultKind, ScheduledFault};
use railhub_scenario::scenario::TestClock;
use railhub_scenario::Scenario;

/// The scenario of the cluster, except for its sizes. In addition to the controllers' faults, it has crashes of hosts and
/// a deployment.
const CLUSTER: &str = include_str!("lease_scenario.ini");
/// Minimum time in seconds between the end of the last fault and the end of the run.
const CALM_TIME: f64 = 6.0;
/// The name of the kind of all faults that are added to the scenario.
const SCENARIO_FAULT_KIND: &str = "chaos";
/// Number of bits in a partition's side.
const SIDE_BITS: usize = 32;

/// A scenario, and the faults that a scenario does not support.
pub struct LeaseScenario {
    /// The scenario.
    pub scenario: Scenario,
    /// Faults that a scenario does not support.
    pub unsupported_faults: Vec<FaultKind>,
}

/// Builds the scenario that applies the faults to real processes.
///
/// # Errors
/// The built-in scenario of the cluster is invalid.
pub fn lease_scenario(
    config: &ChaosConfig,
    seed: u64,
    faults: &[Fault],
    sabotage: Option<Sabotage>,
) -> Result<LeaseScenario, Diagnostic> {
    let mut scenario = Scenario::read(&Document::parse("the fleet of a chaos run", CLUSTER)?)?;
    scenario.seed = seed;
    scenario.name = format!("{}, seed {seed}", config.name);
    apply_sizes(&mut scenario, config);
    scenario.length = scenario_length(config, faults);
    apply_sabotage(&mut scenario, sabotage);
    let mut unsupported_faults = Vec::new();
    for fault in faults {
        if !add_fault(&mut scenario, fault) {
            unsupported_faults.push(fault.kind.clone());
        }
    }
    Ok(LeaseScenario { scenario, unsupported_faults })
}

fn apply_sizes(scenario: &mut Scenario, config: &ChaosConfig) {
    scenario.controllers = usize::from(config.controllers);
    scenario.lease_duration = config.lease_duration;
    scenario.slices = u32::from(config.slices);
    scenario.limits.slices = u32::from(config.slices);
    scenario.proxies = config.proxies as usize;
    scenario.limits.proxies = u32::from(config.proxies);
}

fn scenario_length(config: &ChaosConfig, faults: &[Fault]) -> f64 {
    let ends = faults.iter().map(|fault| fault.at + fault.duration.min(config.length));
    config.length.max(ends.fold(0.0, f64::max) + CALM_TIME)
}

fn apply_sabotage(scenario: &mut Scenario, sabotage: Option<Sabotage>) {
    scenario.store_faults.reuses_epochs = sabotage == Some(Sabotage::EpochReused);
    scenario.store_faults.skips_write_check = sabotage == Some(Sabotage::UncheckedWrites);
    scenario.disabled_safeguard = (sabotage == Some(Sabotage::LeaseOverrun)).then_some("lease end");
}

/// Adds a fault to the scenario; returns whether the scenario supports it.
fn add_fault(scenario: &mut Scenario, fault: &Fault) -> bool {
    match fault.kind {
        FaultKind::ClockDrift { controller, fraction } => {
            test_clock(scenario, controller).speed += fraction;
            true
        }
        FaultKind::ClockJump { controller, seconds } => {
            let clock = test_clock(scenario, controller);
            clock.jumps_after = fault.at;
            clock.jumps_by = seconds;
            true
        }
        FaultKind::Flap { controller } => {
            scenario.faults.extend(flap_faults(fault, controller));
            true
        }
        _ => {
            let Some(kind) = scenario_fault_kind(&fault.kind) else { return false };
            scenario.faults.push(scenario_fault(fault.at, fault.duration, kind));
            true
        }
    }
}

fn test_clock(scenario: &mut Scenario, controller: u16) -> &mut TestClock {
    scenario.clocks.resize(scenario.controllers, TestClock::default());
    &mut scenario.clocks[usize::from(controller)]
}

fn scenario_fault(at: f64, duration: f64, kind: ScenarioFaultKind) -> ScheduledFault {
    ScheduledFault { name: kind.recorded_note(), kind_name: SCENARIO_FAULT_KIND.into(), at, duration, kind }
}

/// The faults of a flapping controller: it is killed once in each cycle.
fn flap_faults(fault: &Fault, controller: u16) -> Vec<ScheduledFault> {
    let period = 2.0 * FLAP_HALF_PERIOD;
    let cycles = (fault.duration / period).ceil().max(1.0) as u32;
    let mut faults = Vec::new();
    for cycle in 0..cycles {
        let at = fault.at + f64::from(cycle) * 2.0 * FLAP_HALF_PERIOD;
        let kind = ScenarioFaultKind::ControllerKilled { controller: usize::from(controller) };
        faults.push(scenario_fault(at, FLAP_HALF_PERIOD, kind));
    }
    faults
}

/// The fault of a scenario that corresponds to a fault; `None` if the scenario has none.
fn scenario_fault_kind(kind: &FaultKind) -> Option<ScenarioFaultKind> {
    Some(match *kind {
        FaultKind::Kill { controller } => {
            ScenarioFaultKind::ControllerKilled { controller: usize::from(controller) }
        }
        FaultKind::Pause { controller } => {
            ScenarioFaultKind::ControllerPaused { controller: usize::from(controller) }
        }
        FaultKind::Cut { from, to } => {
            ScenarioFaultKind::ControllerOneWayCut { from: usize::from(from), to: usize::from(to) }
        }
        FaultKind::Partition { side } => ScenarioFaultKind::ControllerPartition {
            side: (0..SIDE_BITS).filter(|bit| side >> bit & 1 == 1).collect(),
        },
        FaultKind::StoreUnavailable => ScenarioFaultKind::StoreUnavailable,
        FaultKind::StoreLosesResponses => ScenarioFaultKind::StoreResponsesLost,
        FaultKind::CutStore { controller } => {
            let peers = vec!["store".to_owned()];
            let direction = CutDirection::Both;
            ScenarioFaultKind::ControllerIsolated { controller: usize::from(controller), peers, direction }
        }
        FaultKind::StoreSlow { delay } => ScenarioFaultKind::StoreSlow { delay },
        FaultKind::StoreRollback { age } => ScenarioFaultKind::StoreRolledBack { age },
        FaultKind::SlowCommands { controller, max_delay } => {
            ScenarioFaultKind::SlowUpdates { controller: usize::from(controller), delay: max_delay }
        }
        FaultKind::Drain { controller } => {
            ScenarioFaultKind::ControllerDrained { controller: usize::from(controller) }
        }
        _ => return None,
    })
}
