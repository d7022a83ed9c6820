//! Replays recorded operations as the traffic of a scenario, and extracts the operations of a run from its recording.
//!
//! What recorded traffic lacks is drawn: rows of load reports have no keys, no work and no exact times, and if the
//! number of proxies differs, a recorded proxy has no counterpart. Faults that change operations apply to recorded
//! operations as to drawn ones. Load shape and growth of the scenario do not apply, as recorded traffic has its own.
use crate::draw::operation::{Arrival, PendingOperation};
use crate::draw::random::{key_distribution, proxy_weights_by_zone, random_stream, weighted_index};
use crate::scenario::Scenario;
use railhub_record::{Event, EventKind, Limits, OperationEnd};
use railhub_trace::{Trace, TraceHeader, TraceRow};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Zipf};

/// Shortest time between the start of a trace's last operation and the end of the trace, in seconds.
const LAST_START_MARGIN_SECONDS: f64 = 1e-3;
/// Multiplier of the Fibonacci hash by which keys are spread over another number of slices.
const KEY_HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The slice of a row in a scenario with `slices` slices: as recorded, or by a hash of the key where the number
/// differs.
fn slice_of(row: &TraceRow, recorded_slices: u32, slices: u32) -> u32 {
    if slices == 0 {
        return 0;
    }
    if recorded_slices == slices {
        return row.slice;
    }
    match row.key {
        Some(key) => (key.wrapping_mul(KEY_HASH_MULTIPLIER) >> 32) as u32 % slices,
        None => row.slice % slices,
    }
}

/// The fraction of recorded operations for each slice. One operation is added for each slice, so that no fraction is 0.
pub(crate) fn slice_sizes(traffic: &Trace, slices: u32) -> Vec<f64> {
    let mut counts = vec![1.0; slices.max(1) as usize];
    for row in &traffic.rows {
        counts[slice_of(row, traffic.header.slices, slices) as usize] += f64::from(row.count);
    }
    let total: f64 = counts.iter().sum();
    counts.into_iter().map(|count| count / total).collect()
}

/// The recorded operations that begin before the scenario's end, in the order of their times.
pub(crate) fn arrivals(scenario: &Scenario, traffic: &Trace) -> Vec<Arrival> {
    let mut replay = Replay::new(scenario, traffic);
    let mut arrivals = Vec::new();
    for row in &traffic.rows {
        for _ in 0..row.count {
            arrivals.extend(replay.draw(row));
        }
    }
    arrivals.sort_by(|a, b| a.at.total_cmp(&b.at));
    for (index, arrival) in arrivals.iter_mut().enumerate() {
        arrival.drawn.operation = index as u64 + 1;
    }
    arrivals
}

struct Replay<'a> {
    scenario: &'a Scenario,
    header: &'a TraceHeader,
    random: ChaCha8Rng,
    /// Weights of the proxies, by zone.
    proxy_weights: Vec<Vec<f64>>,
    keys: Zipf<f64>,
}

impl<'a> Replay<'a> {
    fn new(scenario: &'a Scenario, traffic: &'a Trace) -> Replay<'a> {
        let mut random = random_stream(scenario.seed, "operations");
        let proxy_weights = proxy_weights_by_zone(scenario, &mut random);
        Replay { scenario, header: &traffic.header, random, proxy_weights, keys: key_distribution(scenario) }
    }

    /// One operation of a row; none if it begins after the scenario's end. [`arrivals`] sets its operation number.
    fn draw(&mut self, row: &TraceRow) -> Option<Arrival> {
        let scenario = self.scenario;
        let at = row.at - self.random.random::<f64>() * row.span;
        if at >= scenario.length {
            return None;
        }
        let slice = slice_of(row, self.header.slices, scenario.slices) as usize;
        let key = row.key.unwrap_or_else(|| self.draw_key(slice));
        let mut zone_weights = vec![0.0; scenario.zones.len()];
        zone_weights[row.zone as usize] = 1.0;
        let mut operation = PendingOperation::new(row.class as usize, slice, key, zone_weights);
        let slices = scenario.slices.max(1) as usize;
        operation.apply_faults(scenario, at, slices, &mut self.random);
        let zone = operation.draw_zone(&mut self.random);
        let proxy = self.proxy(row, zone);
        let class_kept = operation.class == row.class as usize;
        let recorded_work = row.work.filter(|_| class_kept);
        let work = recorded_work.unwrap_or_else(|| operation.draw_work(scenario, &mut self.random));
        Some(Arrival { at, proxy, drawn: operation.finish(0, work) })
    }

    fn draw_key(&mut self, slice: usize) -> u64 {
        self.keys.sample(&mut self.random) as u64 + slice as u64 * self.scenario.keys_per_slice as u64
    }

    /// The recorded proxy if it has a counterpart in the scenario, else a drawn one that takes the zone's traffic.
    fn proxy(&mut self, row: &TraceRow, zone: usize) -> usize {
        let same_proxies = self.header.proxies as usize == self.scenario.proxies;
        let zone_kept = zone == row.zone as usize;
        let recorded = row.proxy as usize;
        if same_proxies && zone_kept && recorded < self.scenario.proxies {
            return recorded;
        }
        weighted_index(&mut self.random, &self.proxy_weights[zone])
    }
}

/// Extracts the operations of a run from its recording.
pub fn trace_from_recording(events: &[Event], limits: &Limits) -> Trace {
    let header = TraceHeader {
        classes: limits.classes.iter().map(|class| class.name.clone()).collect(),
        zones: zone_names(events, limits),
        slices: limits.slices,
        proxies: limits.proxies,
        length: limits.until - limits.from,
    };
    let rows = operations(events).map(|end| recorded_row(end, limits.from, header.length)).collect();
    let mut traffic = Trace { header, rows };
    traffic.sort();
    traffic
}

fn operations(events: &[Event]) -> impl Iterator<Item = &OperationEnd> {
    events.iter().filter_map(|event| match &event.kind {
        Some(EventKind::OperationEnd(end)) => Some(end),
        _ => None,
    })
}

fn recorded_row(end: &OperationEnd, start: f64, length: f64) -> TraceRow {
    // A client may begin some hundredths of a second late. The last operations then still belong to this run.
    let latest = (length - LAST_START_MARGIN_SECONDS).max(0.0);
    TraceRow {
        at: (end.began - start).clamp(0.0, latest),
        class: end.class,
        slice: end.slice,
        zone: end.zone,
        proxy: end.proxy,
        key: Some(end.key),
        work: (end.work > 0.0).then_some(end.work),
        count: 1,
        span: 0.0,
    }
}

/// The zone names in the recording; `zone-0`, `zone-1`, ... if it contains none.
fn zone_names(events: &[Event], limits: &Limits) -> Vec<String> {
    if !limits.zones.is_empty() {
        return limits.zones.clone();
    }
    let highest = operations(events).map(|end| end.zone).max().unwrap_or(0);
    (0..=highest).map(|zone| format!("zone-{zone}")).collect()
}

#[cfg(test)]
mod tests;
