//! A day as its file tells it.
use crate::replay;
use crate::stewards::TestClock;
use crate::troubles::{self, Trouble};
use railhub_emulator::client::ClientConfig;
use railhub_emulator::routing::BalancingPolicy;
use railhub_emulator::OperationClass;
use railhub_ini::{Diagnostic, Document, Section};
use railhub_membership::lease_store::StoreFaults;
use railhub_record::{ClassLimits, Limits, OperationIdempotency};
use railhub_trace::Traffic;
use std::path::Path;
use std::sync::Arc;

/// Stewards that a day may have: each is a process.
const STEWARDS_MOST: f64 = 15.0;

#[derive(Clone, Debug)]
pub struct ClassScript {
    pub facts: OperationClass,
    pub share: f64,
    /// Mean core seconds of an operation, and their spread over the mean.
    pub work: f64,
    pub spread: f64,
}

#[derive(Clone, Debug)]
pub struct KindScript {
    pub name: String,
    pub share: f64,
    pub cores: usize,
    pub speed: (f64, f64),
    pub queue: usize,
    pub cold_from: f64,
    pub warm_after: f64,
}

/// Times in seconds.
#[derive(Clone, Debug)]
pub struct Day {
    pub name: String,
    pub seed: u64,
    pub length: f64,
    pub zones: Vec<String>,
    pub zone_shares: Vec<f64>,
    pub hosts: usize,
    pub kinds: Vec<KindScript>,
    pub connections: usize,
    pub probe_work: f64,
    pub busy_every: f64,
    pub kept_gain: f64,
    pub kept_for: f64,
    pub proxies: usize,
    pub pick: BalancingPolicy,
    pub slices: u32,
    pub slice_spread: f64,
    /// Share of what the hosts can do that is asked for, at moments of the day.
    pub load: f64,
    pub shape: Vec<(f64, f64)>,
    pub keys: usize,
    /// Operations as they were recorded, in place of drawn ones.
    pub replay: Option<Arc<Traffic>>,
    pub classes: Vec<ClassScript>,
    pub clients: ClientConfig,
    pub roster_add: f64,
    pub roster_notice: f64,
    pub report_every: f64,
    pub report_late: f64,
    pub reports_a_second: f64,
    pub lines_a_second: f64,
    pub redial: f64,
    pub connect_within: f64,
    pub hold: f64,
    pub first_wait: f64,
    pub limits: Limits,
    pub troubles: Vec<Trouble>,
    /// Processes that share the slices, 1: one has them all; and seconds of a lease.
    pub stewards: usize,
    pub lease: f64,
    /// Clocks of stewards, for tests; none: as they are.
    pub clocks: Vec<TestClock>,
    /// What the store must not be, for tests of the judge alone.
    pub broken_store: StoreFaults,
    /// A safeguard that stewards go without, for the same.
    pub stewards_without: Option<&'static str>,
}

impl Day {
    pub fn open(path: &Path) -> Result<Day, Diagnostic> {
        Day::read_beside(&Document::open(path)?, path.parent().unwrap_or(Path::new(".")))
    }

    pub fn read(document: &Document) -> Result<Day, Diagnostic> {
        Day::read_beside(document, Path::new("."))
    }

    /// Files that the day names lie in `folder`.
    pub fn read_beside(document: &Document, folder: &Path) -> Result<Day, Diagnostic> {
        let named = |prefix: &'static str| move |name: &String| name.starts_with(prefix);
        document.reject_unknown_sections(|name| {
            let plain =
                ["day", "fleet", "stewards", "load", "clients", "roster", "reports", "channel", "rules"];
            plain.contains(&name) || ["class ", "kind ", "trouble "].iter().any(|p| name.starts_with(p))
        })?;
        let sections = document.section_names();
        let mut classes = Vec::new();
        for name in sections.iter().filter(|name| named("class ")(name)) {
            classes.push(class(&document.section(name))?);
        }
        let mut kinds = Vec::new();
        for name in sections.iter().filter(|name| named("kind ")(name)) {
            kinds.push(kind(&document.section(name))?);
        }
        let day = document.section("day");
        if classes.is_empty() || kinds.is_empty() {
            return Err(day.diagnostic("", "needs at least one [class NAME] and one [kind NAME]"));
        }
        let fleet = document.section("fleet");
        let load = document.section("load");
        let clients = document.section("clients");
        let roster = document.section("roster");
        let reports = document.section("reports");
        let channel = document.section("channel");
        let rules = document.section("rules");
        let stewards = document.section("stewards");
        let zones = match fleet.list("zones") {
            names if names.is_empty() => vec!["here".to_owned()],
            names => names,
        };
        let slices = fleet.in_range("slices", 0.0, 0.0, 60_000.0)? as u32;
        let replay = replay::read(&load, folder, &zones, &classes)?;
        let script = Day {
            name: day.value_or("name", "unnamed".to_owned())?,
            seed: day.value_or("seed", 1)?,
            length: day.required_in_range("length", 1.0, 3600.0)?,
            zone_shares: zone_shares(&load, &zones)?,
            hosts: fleet.required_in_range("hosts", 1.0, 2000.0)? as usize,
            connections: fleet.in_range("connections", 2000.0, 1.0, 60_000.0)? as usize,
            probe_work: fleet.in_range("probe_work", 0.002, 0.0, 10.0)?,
            busy_every: fleet.in_range("busy_every", 0.0, 0.0, 60.0)?,
            kept_gain: fleet.in_range("kept_gain", 0.0, 0.0, 0.95)?,
            kept_for: fleet.in_range("kept_for", 10.0, 0.0, 3600.0)?,
            proxies: fleet.required_in_range("proxies", 1.0, 5000.0)? as usize,
            pick: fleet.choice(
                "pick",
                "two",
                &[("two", BalancingPolicy::LeastOutstandingOfTwo), ("weighted", BalancingPolicy::Weighted)],
            )?,
            slice_spread: fleet.in_range("slice_spread", 0.6, 0.0, 5.0)?,
            load: if replay.is_some() { 0.0 } else { load.required_in_range("share", 0.01, 3.0)? },
            replay,
            shape: shape(&load)?,
            keys: load.in_range("keys", 2000.0, 1.0, 1e6)? as usize,
            clients: ClientConfig {
                max_retries: clients.in_range("retries", 1.0, 0.0, 10.0)? as u32,
                request_timeout_fraction: clients.in_range("try_share", 0.7, 0.01, 1.0)?,
                retry_backoff: clients.in_range("pause", 0.1, 0.0, 60.0)?,
            },
            roster_add: roster.in_range("add", 1.0, 0.0, 60.0)?,
            roster_notice: roster.in_range("notice", 2.0, 0.0, 60.0)?,
            report_every: reports.in_range("every", 1.0, 0.05, 60.0)?,
            report_late: reports.in_range("late", 0.5, 0.0, 60.0)?,
            reports_a_second: reports.in_range("a_second", 800.0, 1.0, 1e6)?,
            lines_a_second: channel.in_range("lines_a_second", 40_000.0, 10.0, 1e9)?,
            redial: channel.in_range("redial", 1.0, 0.0, 60.0)?,
            connect_within: fleet.in_range("connect_within", 0.25, 0.01, 60.0)?,
            hold: rules.in_range("hold", 0.2, 0.0, 60.0)?,
            first_wait: rules.in_range("first_wait", 1.0, 0.0, 100.0)?,
            limits: Limits {
                zones: zones.clone(),
                proxies: fleet.value_or("proxies", 1)?,
                ..limits(&rules, &classes, slices)?
            },
            troubles: Vec::new(),
            stewards: stewards.in_range("count", 1.0, 1.0, STEWARDS_MOST)? as usize,
            lease: stewards.in_range("lease", 3.0, 0.5, 60.0)?,
            clocks: Vec::new(),
            broken_store: StoreFaults::default(),
            stewards_without: None,
            zones,
            kinds,
            slices,
            classes,
        };
        if script.stewards > 1 && slices == 0 {
            return Err(stewards.diagnostic("count", "needs slices that stewards can share"));
        }
        let mut found = Vec::new();
        for name in sections.iter().filter(|name| named("trouble ")(name)) {
            found.push(troubles::read(&document.section(name), &script)?);
        }
        for section in [day, fleet, stewards, load, clients, roster, reports, channel, rules] {
            section.reject_unread_keys()?;
        }
        Ok(Day { troubles: found, ..script })
    }

    pub fn class_facts(&self) -> Vec<OperationClass> {
        self.classes.iter().map(|class| class.facts.clone()).collect()
    }
}

fn zone_shares(load: &Section, zones: &[String]) -> Result<Vec<f64>, Diagnostic> {
    let texts = load.list("zone_shares");
    if texts.is_empty() {
        return Ok(vec![1.0; zones.len()]);
    }
    let shares: Vec<f64> = texts.iter().filter_map(|text| text.parse().ok()).collect();
    if shares.len() == zones.len()
        && shares.iter().all(|share| *share >= 0.0)
        && shares.iter().sum::<f64>() > 0.0
    {
        Ok(shares)
    } else {
        Err(load.diagnostic("zone_shares", format!("needs {} shares, one a zone", zones.len())))
    }
}

/// `shape = 0:1.0, 20:1.3`: times the load at moments of the day, a straight line between.
fn shape(load: &Section) -> Result<Vec<(f64, f64)>, Diagnostic> {
    let points = load.list("shape").into_iter().map(|point| {
        let (at, times) = point.split_once(':')?;
        Some((at.trim().parse().ok()?, times.trim().parse::<f64>().ok().filter(|times| *times >= 0.0)?))
    });
    let points: Option<Vec<(f64, f64)>> = points.collect();
    let ordered = |points: &Vec<(f64, f64)>| points.windows(2).all(|two| two[0].0 < two[1].0);
    points
        .filter(ordered)
        .ok_or_else(|| load.diagnostic("shape", "needs points like 0:1.0, 20:1.3, in order"))
}

fn class(section: &Section) -> Result<ClassScript, Diagnostic> {
    let repeats = section.choice(
        "repeats",
        "never",
        &[
            ("safe", OperationIdempotency::Safe),
            ("keyed", OperationIdempotency::IdempotencyKeyGlobal),
            ("keyed nearby", OperationIdempotency::IdempotencyKeyLocal),
            ("never", OperationIdempotency::Never),
        ],
    )?;
    let keyed = matches!(
        repeats,
        OperationIdempotency::IdempotencyKeyGlobal | OperationIdempotency::IdempotencyKeyLocal
    );
    let script = ClassScript {
        facts: OperationClass {
            name: section.name["class ".len()..].trim().to_owned(),
            contract_time: section.required_in_range("contract_time", 0.001, 3600.0)?,
            hard_stop: section.required_in_range("hard_stop", 0.001, 3600.0)?,
            priority_weight: section.in_range("gain", 1.0, 0.0, 1e9)?,
            idempotency: repeats,
            key_window: if keyed { section.required_in_range("key_window", 0.0, 1e6)? } else { 0.0 },
            writes: section.flag("writes", false)?,
        },
        share: section.in_range("share", 1.0, 0.0, 1e6)?,
        work: section.required_in_range("work", 1e-6, 100.0)?,
        spread: section.in_range("spread", 0.5, 0.0, 10.0)?,
    };
    section.reject_unread_keys()?;
    Ok(script)
}

fn kind(section: &Section) -> Result<KindScript, Diagnostic> {
    let least = section.in_range("speed_least", 1.0, 0.01, 100.0)?;
    let kind = KindScript {
        name: section.name["kind ".len()..].trim().to_owned(),
        share: section.in_range("share", 1.0, 0.0, 1e6)?,
        cores: section.in_range("cores", 4.0, 1.0, 1024.0)? as usize,
        speed: (least, section.in_range("speed_most", least, least, 100.0)?),
        queue: section.in_range("queue", 40.0, 0.0, 1e6)? as usize,
        cold_from: section.in_range("cold_from", 0.3, 0.01, 1.0)?,
        warm_after: section.in_range("warm_after", 10.0, 0.0, 3600.0)?,
    };
    section.reject_unread_keys()?;
    Ok(kind)
}

fn limits(rules: &Section, classes: &[ClassScript], slices: u32) -> Result<Limits, Diagnostic> {
    let classes = classes.iter().map(|class| ClassLimits {
        name: class.facts.name.clone(),
        contract_time: class.facts.contract_time,
        hard_stop: class.facts.hard_stop,
        priority_weight: class.facts.priority_weight,
        idempotency: class.facts.idempotency.into(),
        key_window: class.facts.key_window,
        writes: class.facts.writes,
    });
    Ok(Limits {
        classes: classes.collect(),
        slices,
        single_owner: false,
        max_unserved: rules.in_range("lost_for", 6.0, 0.01, 3600.0)?,
        grace: rules.in_range("grace", 3.0, 0.01, 3600.0)?,
        removed_hosts_exempt: !rules.flag("removal_binds", true)?,
        overload_multiple: rules.in_range("fall_multiple", 2.5, 0.1, 1000.0)?,
        overload_span: rules.in_range("fall_for", 2.0, 0.01, 600.0)?,
        cold_capacity_fraction: rules.in_range("cold_from", 0.2, 0.0, 1.0)?,
        max_warm_up: rules.in_range("warm_within", 15.0, 0.0, 3600.0)?,
        max_backlog: rules.in_range("backlog", 20_000.0, 1.0, 1e9)?,
        message_cost: rules.in_range("message_cost", 8.0, 0.0, 1e6)?,
        max_messages: rules.in_range("message_cap", 20.0, 0.0, 1e6)? as u32,
        message_span: rules.in_range("messages_span", 10.0, 0.1, 3600.0)?,
        from: 0.0,
        until: 0.0,
        zones: Vec::new(),
        proxies: 0,
    })
}

#[cfg(test)]
mod tests;
