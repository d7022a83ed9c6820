//! What is kept of a run: its record is thrown away.
use railhub_invariants::{check, limits};
use railhub_record::Event;
use railhub_scenario::report::service;
use railhub_timeseries::latency::LatencyHistogram;
use railhub_timeseries::service_changes::{operator_events, OperatorEvent};
use railhub_timeseries::{host_load, latency, time_series};
use serde::Serialize;

/// The first time that a run broke a rule.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Moment {
    pub rule: u8,
    /// Seconds of the day.
    pub at: f64,
    pub what: String,
}

/// What one arm's run on one seed came to.
#[derive(Clone, Debug, Serialize)]
pub struct RunFigures {
    pub day: usize,
    pub seed: u64,
    pub service: f64,
    pub worst_10_s: f64,
    pub rules_broken: Vec<u8>,
    pub first_breach: Option<Moment>,
    /// Deltas that reached proxies, and slices that changed hosts.
    pub messages: u64,
    pub moves: u64,
    pub operations: u64,
    /// Service second by second.
    #[serde(skip)]
    pub line: Vec<f64>,
    #[serde(skip)]
    pub moves_line: Vec<u32>,
    /// Hosts' loads, the highest first.
    #[serde(skip)]
    pub loads: Vec<f64>,
    #[serde(skip)]
    pub tails: Vec<LatencyHistogram>,
    /// What happened, seconds of the day.
    #[serde(skip)]
    pub happened: Vec<OperatorEvent>,
}

pub fn figures(events: &[Event], day: usize, seed: u64) -> Result<RunFigures, String> {
    let limits = limits(events).ok_or("a run without limits")?;
    let service = service(events, limits);
    let verdicts = check(events).map_err(|error| error.to_string())?;
    let broken = verdicts.iter().filter(|verdict| !verdict.kept);
    let breaches = broken.clone().flat_map(|verdict| {
        verdict.violations.iter().map(|violation| Moment {
            rule: verdict.rule,
            at: violation.at - limits.from,
            what: violation.description.clone(),
        })
    });
    let series = time_series(events, limits);
    Ok(RunFigures {
        day,
        seed,
        service: service.overall,
        worst_10_s: service.worst_10_s,
        first_breach: breaches.min_by(|a, b| a.at.total_cmp(&b.at)),
        rules_broken: broken.map(|verdict| verdict.rule).collect(),
        messages: series.messages.iter().map(|messages| u64::from(*messages)).sum(),
        moves: series.total_moves(),
        operations: service.operations,
        line: series.service,
        moves_line: series.moves,
        loads: host_load::by_host(events, limits).into_iter().map(|host| host.load).collect(),
        tails: latency::by_class(events, limits),
        happened: operator_events(events, limits),
    })
}
