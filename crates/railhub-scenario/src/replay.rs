//! Days of recorded operations: when they came, for which key, from which zone, and how much work they were.
//!
//! What a recording lacks is drawn: sums have neither keys nor work nor moments, another number of proxies has
//! no place for the recorded one. Troubles that lie in operations strike recorded ones as they strike drawn ones;
//! the day's shape and growth do not, what was recorded has its own.
use crate::draw::{self, Arrival, Coming};
use crate::script::{ClassScript, Day};
use railhub_emulator::PlannedOperation;
use railhub_ini::{Diagnostic, Section};
use railhub_record::{Event, EventKind, Limits};
use railhub_trace::scale::{scale, CopiesOf};
use railhub_trace::{file, Facts, Row, Traffic, OPERATIONS_MOST};
use rand::RngExt;
use rand_distr::{Distribution, Zipf};
use std::path::Path;
use std::sync::Arc;

/// Seed of what scaling draws: the same recording scaled alike is the same traffic on all seeds of a day.
const SCALE_SEED: u64 = 1;
/// Seconds before a recording's end that its last operation stands at the latest.
const LAST: f64 = 1e-3;

/// The traffic that `[load] traffic` names, in the day's own classes and zones.
pub fn read(
    load: &Section,
    folder: &Path,
    zones: &[String],
    classes: &[ClassScript],
) -> Result<Option<Arc<Traffic>>, Diagnostic> {
    let Some(name) = load.text("traffic") else { return Ok(None) };
    let wrong = |what: String| load.diagnostic("traffic", what);
    if load.text("share").is_some() || load.text("shape").is_some() {
        return Err(wrong("says what comes: share and shape may not stand beside it".into()));
    }
    let opened = file::open(&folder.join(name)).map_err(|e| wrong(e.to_string()))?;
    let times = load.in_range("traffic_times", 1.0, 0.001, 1000.0)?;
    let stretch = load.in_range("traffic_stretch", 1.0, 0.01, 100.0)?;
    let copies = [("same keys", CopiesOf::SameKeys), ("other keys", CopiesOf::OtherKeys)];
    let copies = load.choice("traffic_copies", "same keys", &copies)?;
    let mut traffic = opened.traffic;
    if (traffic.operations() as f64 * times) as u64 > OPERATIONS_MOST {
        return Err(wrong(format!("has more than {OPERATIONS_MOST} operations: cut it, or scale it down")));
    }
    let class_names: Vec<&str> = classes.iter().map(|class| class.facts.name.as_str()).collect();
    let class_of = places(&traffic.facts.classes, &class_names, "class-");
    let zone_names: Vec<&str> = zones.iter().map(String::as_str).collect();
    let zone_of = places(&traffic.facts.zones, &zone_names, "zone-");
    for row in &mut traffic.rows {
        let unknown = |what: &str, name: &str| wrong(format!("has the {what} '{name}', this day has not"));
        let (class, zone) = (row.class as usize, row.zone as usize);
        row.class = class_of[class].ok_or_else(|| unknown("class", &traffic.facts.classes[class]))?;
        row.zone = zone_of[zone].ok_or_else(|| unknown("zone", &traffic.facts.zones[zone]))?;
    }
    let (classes, zones) = (class_names.iter().map(|n| (*n).to_owned()).collect(), zones.to_vec());
    traffic.facts = Facts { classes, zones, ..traffic.facts };
    if times != 1.0 || stretch != 1.0 {
        traffic = scale(&traffic, times, stretch, copies, SCALE_SEED);
    }
    Ok(Some(Arc::new(traffic)))
}

/// Where each name stands among ours. A steward does not know names of zones: it writes `zone-3` for the fourth.
fn places(names: &[String], ours: &[&str], numbered: &str) -> Vec<Option<u32>> {
    let by_number = |name: &str| -> Option<usize> {
        let number = name.strip_prefix(numbered)?.parse().ok()?;
        (number < ours.len()).then_some(number)
    };
    let place = |name: &String| ours.iter().position(|our| our == name).or_else(|| by_number(name));
    names.iter().map(|name| place(name).map(|place| place as u32)).collect()
}

/// The slice of a row in a day of so many: as recorded, or spread anew by key where their number differs.
fn slice_of(row: &Row, recorded: u32, slices: u32) -> u32 {
    if recorded == slices || slices == 0 {
        return if slices == 0 { 0 } else { row.slice };
    }
    match row.key {
        Some(key) => (key.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as u32 % slices,
        None => row.slice % slices,
    }
}

/// Shares of the recorded operations by slice; a slice without any gets the share of one operation.
pub fn slice_sizes(traffic: &Traffic, slices: u32) -> Vec<f64> {
    let mut counts = vec![1.0; slices.max(1) as usize];
    for row in &traffic.rows {
        counts[slice_of(row, traffic.facts.slices, slices) as usize] += f64::from(row.count);
    }
    let all: f64 = counts.iter().sum();
    counts.into_iter().map(|count| count / all).collect()
}

/// The recorded operations as this day's, those that come before its end.
pub fn arrivals(day: &Day, traffic: &Traffic) -> Vec<Arrival> {
    let mut chance = draw::chance(day.seed, "operations");
    let proxies: Vec<f64> = (0..day.proxies).map(|_| draw::spread(&mut chance, 1.0, 0.7)).collect();
    let by_zone: Vec<Vec<f64>> =
        (0..day.zones.len()).map(|zone| draw::proxies_of(day, &proxies, zone)).collect();
    let keys = Zipf::new(day.keys as f64, draw::KEY_EXPONENT).expect("at least one key");
    let slices = day.slices.max(1) as usize;
    let same_proxies = traffic.facts.proxies as usize == day.proxies;
    let mut all = Vec::new();
    for row in &traffic.rows {
        let slice = slice_of(row, traffic.facts.slices, day.slices) as usize;
        for _ in 0..row.count {
            let at = row.at - chance.random::<f64>() * row.span;
            if at >= day.length {
                continue;
            }
            let drawn_key = || keys.sample(&mut chance) as u64 + slice as u64 * day.keys as u64;
            let key = row.key.unwrap_or_else(drawn_key);
            let mut zones = vec![0.0; day.zones.len()];
            zones[row.zone as usize] = 1.0;
            let mut coming = Coming {
                class: row.class as usize,
                slice,
                key,
                times: 1.0,
                patience: 1.0,
                comes_back: false,
                zones,
            };
            coming.trouble(day, at, slices, &mut chance);
            let zone = draw::place(&mut chance, &coming.zones);
            let is_there = same_proxies && zone == row.zone as usize && (row.proxy as usize) < day.proxies;
            let proxy = if is_there { row.proxy as usize } else { draw::place(&mut chance, &by_zone[zone]) };
            let script = &day.classes[coming.class];
            let moved = coming.class != row.class as usize;
            let work = row.work.filter(|_| !moved);
            let work = work.unwrap_or_else(|| draw::spread(&mut chance, script.work, script.spread));
            let drawn = PlannedOperation {
                operation: 0,
                class: coming.class as u32,
                key: coming.key,
                slice: coming.slice as u32,
                work: coming.times * work,
                patience: coming.patience,
                returns: coming.comes_back,
            };
            all.push(Arrival { at, proxy, drawn });
        }
    }
    all.sort_by(|a, b| a.at.total_cmp(&b.at));
    all.iter_mut().enumerate().for_each(|(n, arrival)| arrival.drawn.operation = n as u64 + 1);
    all
}

/// The operations of a run, out of its record.
pub fn of_record(events: &[Event], limits: &Limits) -> Traffic {
    let zones = match limits.zones.is_empty() {
        true => (0..=highest_zone(events)).map(|zone| format!("zone-{zone}")).collect(),
        false => limits.zones.clone(),
    };
    let facts = Facts {
        classes: limits.classes.iter().map(|class| class.name.clone()).collect(),
        zones,
        slices: limits.slices,
        proxies: limits.proxies,
        length: limits.until - limits.from,
    };
    let length = facts.length;
    let rows = events.iter().filter_map(|event| match &event.kind {
        Some(EventKind::OperationEnd(end)) => Some(Row {
            // A client may begin some hundredths late: the last of them are still of this day.
            at: (end.began - limits.from).clamp(0.0, (length - LAST).max(0.0)),
            class: end.class,
            slice: end.slice,
            zone: end.zone,
            proxy: end.proxy,
            key: Some(end.key),
            work: (end.work > 0.0).then_some(end.work),
            count: 1,
            span: 0.0,
        }),
        _ => None,
    });
    let mut traffic = Traffic { facts, rows: rows.collect() };
    traffic.sort();
    traffic
}

fn highest_zone(events: &[Event]) -> u32 {
    let zones = events.iter().filter_map(|event| match &event.kind {
        Some(EventKind::OperationEnd(end)) => Some(end.zone),
        _ => None,
    });
    zones.max().unwrap_or(0)
}

#[cfg(test)]
mod tests;
