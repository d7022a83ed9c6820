//! The figures kept of a run, whose recording is discarded.
use railhub_invariants::{check, limits};
use railhub_record::Event;
use railhub_scenario::report::service;
use railhub_timeseries::latency::LatencyHistogram;
use railhub_timeseries::service_changes::{operator_events, OperatorEvent};
use railhub_timeseries::{host_load, latency, time_series};
use serde::Serialize;

/// The first violation of an invariant in a run.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct FirstViolation {
    pub rule: u8,
    /// Seconds since the first operation.
    pub at: f64,
    /// Description of the violation.
    pub what: String,
}

/// Figures of one arm's run on one seed.
#[derive(Clone, Debug, Serialize)]
pub struct RunFigures {
    /// Index of the scenario.
    #[serde(rename = "day")]
    pub scenario_index: usize,
    pub seed: u64,
    pub service: f64,
    pub worst_10_s: f64,
    pub rules_broken: Vec<u8>,
    #[serde(rename = "first_breach")]
    pub first_violation: Option<FirstViolation>,
    /// Deltas that reached proxies.
    pub messages: u64,
    /// Slices that changed hosts.
    pub moves: u64,
    pub operations: u64,
    /// Service of each second.
    #[serde(skip)]
    pub service_by_second: Vec<f64>,
    #[serde(skip)]
    pub moves_by_second: Vec<u32>,
    /// Load of each host, the highest first.
    #[serde(skip)]
    pub loads: Vec<f64>,
    /// By operation class.
    #[serde(skip)]
    pub latency_histograms: Vec<LatencyHistogram>,
    /// Faults and other events that an operator would see.
    #[serde(skip)]
    pub operator_events: Vec<OperatorEvent>,
}

/// Reduces a recording to its figures.
pub fn figures(events: &[Event], scenario_index: usize, seed: u64) -> Result<RunFigures, String> {
    let limits = limits(events).ok_or("a run without limits")?;
    let service = service(events, limits);
    let verdicts = check(events).map_err(|error| error.to_string())?;
    let broken_rules = verdicts.iter().filter(|verdict| !verdict.kept);
    let violations = broken_rules.clone().flat_map(|verdict| {
        verdict.violations.iter().map(|violation| FirstViolation {
            rule: verdict.rule,
            at: violation.at - limits.from,
            what: violation.description.clone(),
        })
    });
    let series = time_series(events, limits);
    Ok(RunFigures {
        scenario_index,
        seed,
        service: service.overall,
        worst_10_s: service.worst_10_s,
        first_violation: violations.min_by(|a, b| a.at.total_cmp(&b.at)),
        rules_broken: broken_rules.map(|verdict| verdict.rule).collect(),
        messages: series.messages.iter().map(|messages| u64::from(*messages)).sum(),
        moves: series.total_moves(),
        operations: service.operations,
        service_by_second: series.service,
        moves_by_second: series.moves,
        loads: host_load::by_host(events, limits).into_iter().map(|host| host.load).collect(),
        latency_histograms: latency::by_class(events, limits),
        operator_events: operator_events(events, limits),
    })
}
