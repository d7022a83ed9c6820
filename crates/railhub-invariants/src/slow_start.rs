//! Rule 4: no host in slow start is overloaded: the work that all proxies send to it within any span of the stated
//! length stays within a multiple of its capacity in that span.
use crate::channel_slowdown::ChannelSlowdown;
use crate::slice_ownership::SliceOwnership;
use crate::verdict::Verdict;
use railhub_record::{Attempt, DeltaReceived, EndpointsReceived, Event, EventKind, HostStarted, Limits};
use std::collections::{BTreeMap, VecDeque};

/// Factor on the budget that allows for random variation, on top of the largest operation's work.
const BUDGET_TOLERANCE_FACTOR: f64 = 1.1;
/// Fraction of the work that must come from proxies that were informed of the start; with less there is no check.
const MIN_INFORMED_FRACTION: f64 = 2.0 / 3.0;
/// A start in the endpoint list may be earlier than the recorded one by this much.
const START_TOLERANCE_SECONDS: f64 = 0.001;
/// Shorter slow starts count as this long, to avoid a division by zero.
const MIN_WARM_UP_SECONDS: f64 = 1e-9;
/// Points at which the capacity is sampled over a span; it grows linearly, so a few points are accurate enough.
const CAPACITY_SAMPLES: u32 = 20;

/// The verdict on rule 4.
pub fn check(events: &[Event], limits: &Limits) -> Verdict {
    let mut state = CheckState {
        verdict: Verdict::new(4, "no cold host is pushed over"),
        limits,
        slowdown: ChannelSlowdown::from_events(events),
        warming: BTreeMap::new(),
        last_published: BTreeMap::new(),
        ownership: SliceOwnership::default(),
    };
    for event in events {
        match &event.kind {
            Some(EventKind::HostStarted(start)) => state.on_host_start(event.at, start),
            Some(EventKind::HostStopped(stop)) => _ = state.warming.remove(stop.host.as_str()),
            Some(EventKind::EndpointsReceived(update)) => state.on_endpoints(event.at, update),
            Some(EventKind::DeltaReceived(received)) => state.on_delta(event.at, received),
            Some(EventKind::Attempt(attempt)) => state.on_attempt(event.at, attempt),
            _ => {}
        }
    }
    state.verdict
}

/// One attempt within the span under check.
struct SentWork {
    at: f64,
    /// Core seconds at speed 1.
    work: f64,
    /// The proxy could know that the host was in slow start.
    informed: bool,
}

/// A host that started cold.
struct WarmingHost<'a> {
    start: &'a HostStarted,
    started_at: f64,
    /// When a controller first received the start from the endpoint list, in seconds.
    listed_at: Option<f64>,
    /// The attempts within the span under check.
    recent_work: VecDeque<SentWork>,
    /// The work of the largest attempt so far, in core seconds at speed 1.
    largest_work: f64,
}

impl WarmingHost<'_> {
    /// Core seconds at speed 1 that the host can execute in the `span` seconds from `from`.
    fn capacity(&self, from: f64, span: f64) -> f64 {
        let samples = f64::from(CAPACITY_SAMPLES);
        let fraction_of_sample =
            |index: u32| self.capacity_fraction(from + span * (f64::from(index) + 0.5) / samples);
        let mean = (0..CAPACITY_SAMPLES).map(fraction_of_sample).sum::<f64>() / samples;
        self.start.cores * self.start.speed * mean * span
    }

    fn capacity_fraction(&self, at: f64) -> f64 {
        let progress = (at - self.started_at) / self.start.warm_up_time.max(MIN_WARM_UP_SECONDS);
        (self.start.cold_capacity_fraction + (1.0 - self.start.cold_capacity_fraction) * progress)
            .clamp(0.0, 1.0)
    }

    fn push(&mut self, sent: SentWork, span: f64) {
        let at = sent.at;
        self.largest_work = self.largest_work.max(sent.work);
        self.recent_work.push_back(sent);
        while self.recent_work.front().is_some_and(|sent| sent.at <= at - span) {
            self.recent_work.pop_front();
        }
    }
}

struct CheckState<'a> {
    verdict: Verdict,
    limits: &'a Limits,
    slowdown: ChannelSlowdown,
    /// Hosts that started cold, by address.
    warming: BTreeMap<&'a str, WarmingHost<'a>>,
    /// When the latest delta that reached a proxy was published, in seconds, by proxy and controller.
    last_published: BTreeMap<(u32, u32), f64>,
    ownership: SliceOwnership,
}

impl<'a> CheckState<'a> {
    fn on_host_start(&mut self, at: f64, start: &'a HostStarted) {
        if start.cold {
            let host = WarmingHost {
                start,
                started_at: at,
                listed_at: None,
                recent_work: VecDeque::new(),
                largest_work: 0.0,
            };
            self.warming.insert(&start.host, host);
        } else {
            self.warming.remove(start.host.as_str());
        }
    }

    fn on_endpoints(&mut self, at: f64, update: &EndpointsReceived) {
        for entry in &update.entries {
            let Some(host) = self.warming.get_mut(entry.host.as_str()) else { continue };
            let states_this_start =
                entry.started_at.is_some_and(|started| started >= host.started_at - START_TOLERANCE_SECONDS);
            if states_this_start && host.listed_at.is_none() {
                host.listed_at = Some(at);
            }
        }
    }

    fn on_delta(&mut self, at: f64, received: &DeltaReceived) {
        self.ownership.on_delta(at, received);
        self.last_published.insert((received.proxy, received.controller), received.delta.published_at);
    }

    fn on_attempt(&mut self, at: f64, attempt: &Attempt) {
        let informed = self.is_proxy_informed(at, attempt);
        let Some(host) = self.warming.get_mut(attempt.host.as_str()) else { return };
        if at - host.started_at > host.start.warm_up_time {
            return;
        }
        let span = self.limits.overload_span;
        host.push(SentWork { at, work: attempt.work, informed }, span);
        let total: f64 = host.recent_work.iter().map(|sent| sent.work).sum();
        let informed_total: f64 =
            host.recent_work.iter().filter(|sent| sent.informed).map(|sent| sent.work).sum();
        let from = (at - span).max(host.started_at);
        let budget = self.limits.overload_multiple * host.capacity(from, span);
        let limit_fraction = (total - host.largest_work) / (budget * BUDGET_TOLERANCE_FACTOR);
        if informed_total >= MIN_INFORMED_FRACTION * total {
            self.verdict.check(at, limit_fraction, || {
                format!("{} was sent {total:.2} core seconds, {budget:.2} were its budget", attempt.host)
            });
        }
    }

    /// Whether the attempt's proxy could know of the host's start: the slice's owner has published to it since a
    /// controller received the start, or the grace period for that has passed.
    fn is_proxy_informed(&self, at: f64, attempt: &Attempt) -> bool {
        let host = self.warming.get(attempt.host.as_str());
        let Some(listed_at) = host.and_then(|host| host.listed_at) else { return false };
        let owner = self.ownership.owner(attempt.proxy, attempt.slice);
        let published_after =
            self.last_published.get(&(attempt.proxy, owner)).is_some_and(|published| *published >= listed_at);
        published_after || at >= listed_at + self.limits.grace * self.slowdown.max_factor(listed_at, at)
    }
}
