//! What stands at a moment of a run, out of the events up to it.
use railhub_proto::RetryCondition;
use railhub_record::{EndpointPhase, Event, EventKind, Limits, Outcome};
use railhub_timeseries::owing::Owing;
use railhub_timeseries::tables::Tables;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Seconds after which a try counts for 1/e in a host's rate.
const MEMORY: f64 = 3.0;
/// Seconds of service that are kept to be drawn.
const LINE: usize = 120;
/// Happenings that are kept to be read.
const TOLD: usize = 12;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    #[default]
    Ready,
    Cold,
    Draining,
    Gone,
    /// Its process has ended, the list does not know yet.
    Down,
}

#[derive(Clone, Debug, Default)]
pub struct HostSight {
    pub zone: u32,
    pub standing: Standing,
    /// Core seconds a second at speed 1, and what its cores can do.
    pub work: f64,
    pub power: f64,
    work_at: f64,
    /// Slices whose heaviest line it is.
    pub slices: usize,
    pub shut: bool,
    warm_at: f64,
    runs: bool,
    listed: Option<EndpointPhase>,
}

#[derive(Clone, Debug, Default)]
pub struct LevelSight {
    pub class: String,
    pub share: f64,
    pub second_try: &'static str,
}

/// One second of service.
#[derive(Clone, Copy, Debug, Default)]
struct Second {
    asked: f64,
    answered: f64,
    operations: u32,
}

#[derive(Clone, Debug, Default)]
pub struct Scene {
    pub limits: Option<Limits>,
    /// Seconds of the day; before its first operation below 0.
    pub now: f64,
    pub hosts: BTreeMap<String, HostSight>,
    pub levels: BTreeMap<u32, LevelSight>,
    pub joined: BTreeSet<u32>,
    owing: Owing,
    pub steward_up: bool,
    pub version: u64,
    pub withdrawals: u64,
    pub moves: u64,
    pub messages: u64,
    pub troubles: BTreeSet<String>,
    pub told: VecDeque<(f64, String)>,
    pub outcomes: BTreeMap<Outcome, u64>,
    tables: Tables,
    seconds: BTreeMap<i64, Second>,
}

impl Scene {
    pub fn take(&mut self, event: &Event) {
        let at = event.at - self.limits.as_ref().map_or(event.at, |limits| limits.from);
        // Events of several writers come a little out of order.
        self.now = self.now.max(at);
        let Some(what) = &event.kind else { return };
        match what {
            EventKind::Limits(limits) => {
                self.now = -limits.from.min(1e9);
                self.limits = Some(limits.clone());
            }
            EventKind::HostStarted(up) => {
                let host = self.hosts.entry(up.host.clone()).or_default();
                (host.zone, host.power, host.runs) = (up.zone, up.cores * up.speed, true);
                host.warm_at = if up.cold { at + up.warm_up_time } else { f64::NEG_INFINITY };
            }
            EventKind::HostStopped(down) => self.hosts.entry(down.host.clone()).or_default().runs = false,
            EventKind::EndpointsReceived(roster) => {
                for entry in &roster.entries {
                    self.hosts.entry(entry.host.clone()).or_default().listed = Some(entry.phase());
                }
            }
            EventKind::ProxyStream(stream) if stream.open => _ = self.joined.insert(stream.proxy),
            EventKind::ProxyStream(stream) => {
                self.joined.remove(&stream.proxy);
                self.owing.gone(stream.proxy);
            }
            EventKind::DeltaReceived(received) => self.take_delta(received.proxy, &received.delta),
            EventKind::DeltaAcknowledged(word) => self.owing.word(word.proxy, word.nonce),
            EventKind::Attempt(tried) => {
                let host = self.hosts.entry(tried.host.clone()).or_default();
                host.work = host.work_by(at) + tried.work / MEMORY;
                host.work_at = at;
            }
            EventKind::OperationEnd(end) => {
                *self.outcomes.entry(end.outcome()).or_default() += 1;
                let Some(limits) = &self.limits else { return };
                let gain = limits.classes.get(end.class as usize).map_or(0.0, |class| class.priority_weight);
                let second = self.seconds.entry((end.began - limits.from).floor() as i64).or_default();
                second.asked += gain;
                second.answered += if end.outcome() == Outcome::Completed { gain } else { 0.0 };
                second.operations += 1;
                if self.seconds.len() > LINE {
                    self.seconds.pop_first();
                }
            }
            EventKind::InjectedFault(trouble) => {
                let name = trouble.name.clone();
                self.tell(at, format!("{name} {}", if trouble.active { "begins" } else { "ends" }));
                if trouble.active {
                    self.troubles.insert(name);
                } else {
                    self.troubles.remove(&name);
                }
            }
            EventKind::ControllerLifecycle(life) => {
                self.steward_up = life.running;
                self.tell(at, format!("the steward {}", if life.running { "starts" } else { "is killed" }));
            }
            EventKind::AttemptEnd(_)
            | EventKind::Effect(_)
            | EventKind::SliceGranted(_)
            | EventKind::TableWrite(_) => {}
        }
    }

    fn tell(&mut self, at: f64, what: String) {
        self.told.push_back((at, what));
        if self.told.len() > TOLD {
            self.told.pop_front();
        }
    }

    fn take_delta(&mut self, proxy: u32, delta: &railhub_proto::Delta) {
        self.messages += 1;
        self.owing.got(proxy, delta.version, delta.cost());
        let Some((moves, withdrawals)) = self.tables.take(delta) else { return };
        self.version = self.tables.version();
        self.moves += u64::from(moves);
        self.withdrawals += u64::from(withdrawals);
        for level in &delta.admission_rates {
            let class = self.limits.as_ref().and_then(|limits| limits.classes.get(level.class as usize));
            let class = class.map_or_else(|| level.class.to_string(), |class| class.name.clone());
            let second_try = match level.retry() {
                RetryCondition::Never => "no second try",
                RetryCondition::IfNotExecuted => "if it never ran",
                RetryCondition::AfterFailure => "after a failure",
            };
            self.levels.insert(level.class, LevelSight { class, share: level.rate, second_try });
        }
        for shut in &delta.exclusions {
            self.hosts.entry(shut.host.clone()).or_default().shut = shut.excluded;
        }
        let counts = self.tables.slices_by_host();
        for (name, host) in &mut self.hosts {
            host.slices = counts.get(name).copied().unwrap_or(0);
        }
    }

    /// Deltas under way, and their lines.
    pub fn backlog(&self) -> (usize, usize) {
        (self.owing.deltas(), self.owing.total_lines())
    }

    /// Service of the seconds that are kept, the newest last; operations that came in the newest whole one.
    /// The last seconds are left out: what came in them has not ended.
    pub fn service(&self) -> (Vec<(f64, f64)>, u32) {
        let stop = self
            .limits
            .as_ref()
            .map_or(0.0, |limits| limits.classes.iter().map(|class| class.contract_time).fold(0.0, f64::max));
        let whole = |second: &i64| (*second + 1) as f64 + stop <= self.now;
        let known: Vec<_> = self.seconds.iter().filter(|(at, _)| whole(at)).collect();
        let line = known.iter().filter(|(_, second)| second.asked > 0.0);
        let line = line.map(|(at, second)| (**at as f64, second.answered / second.asked)).collect();
        (line, known.last().map_or(0, |(_, second)| second.operations))
    }
}

impl HostSight {
    fn work_by(&self, now: f64) -> f64 {
        self.work * (-(now - self.work_at).max(0.0) / MEMORY).exp()
    }

    /// Work asked for of late over what its cores can do.
    pub fn load(&self, now: f64) -> f64 {
        if self.power > 0.0 {
            self.work_by(now) / self.power
        } else {
            0.0
        }
    }

    pub fn standing(&self, now: f64) -> Standing {
        match self.listed {
            Some(EndpointPhase::Gone) => Standing::Gone,
            _ if !self.runs => Standing::Down,
            Some(EndpointPhase::Draining) => Standing::Draining,
            _ if self.warm_at > now => Standing::Cold,
            _ => Standing::Ready,
        }
    }
}
