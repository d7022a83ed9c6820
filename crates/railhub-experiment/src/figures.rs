//! What is kept of a run: its record is thrown away.
use railhub_invariants::{check, limits};
use railhub_record::Event;
use railhub_scenario::report::service;
use railhub_timeseries::causes::happenings;
use railhub_timeseries::tail::Tail;
use railhub_timeseries::{loads, over_time, tail};
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
    pub tails: Vec<Tail>,
    /// What happened, seconds of the day.
    #[serde(skip)]
    pub happened: Vec<(f64, String)>,
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
    let lines = over_time(events, limits);
    Ok(RunFigures {
        day,
        seed,
        service: service.overall,
        worst_10_s: service.worst_10_s,
        first_breach: breaches.min_by(|a, b| a.at.total_cmp(&b.at)),
        rules_broken: broken.map(|verdict| verdict.rule).collect(),
        messages: lines.messages.iter().map(|messages| u64::from(*messages)).sum(),
        moves: lines.total_moves(),
        operations: service.operations,
        line: lines.service,
        moves_line: lines.moves,
        loads: loads::by_host(events, limits).into_iter().map(|host| host.load).collect(),
        tails: tail::by_class(events, limits),
        happened: happenings(events, limits),
    })
}
