//! Rule 4: no host in slow start is overloaded: the work sent to it within any span of the stated length stays under
//! a multiple of its capacity in that time, over all proxies.
use crate::channel_slowdown::ChannelSlowdown;
use crate::slice_ownership::SliceOwnership;
use crate::verdict::Verdict;
use railhub_record::{Attempt, DeltaReceived, EndpointsReceived, Event, EventKind, HostStarted, Limits};
use std::collections::{BTreeMap, VecDeque};

/// Factor on the budget for chance, on top of one operation's work.
const BUDGET_SLACK: f64 = 1.1;
/// Fraction of the work that must come from proxies that were informed of the start, for a check to be made.
const MIN_INFORMED_FRACTION: f64 = 2.0 / 3.0;
/// Seconds that a listed start may lie before the recorded one.
const START_TOLERANCE: f64 = 0.001;
/// A slow start shorter than this many seconds counts as this long.
const MIN_WARM_UP: f64 = 1e-9;
/// Points at which the growing capacity is sampled; it grows evenly, so that a few are close enough.
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
            Some(EventKind::HostStarted(up)) => state.on_host_start(event.at, up),
            Some(EventKind::HostStopped(down)) => _ = state.warming.remove(down.host.as_str()),
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
    up: &'a HostStarted,
    started_at: f64,
    /// When a controller received the start from the endpoint list, in seconds.
    listed_at: Option<f64>,
    sent: VecDeque<SentWork>,
    /// The largest single attempt so far, in core seconds.
    largest_work: f64,
}

impl WarmingHost<'_> {
    /// Core seconds at speed 1 that the host can do over a span in seconds.
    fn capacity(&self, from: f64, span: f64) -> f64 {
        let samples = f64::from(CAPACITY_SAMPLES);
        let fraction_of_sample =
            |index: u32| self.capacity_fraction(from + span * (f64::from(index) + 0.5) / samples);
        let mean = (0..CAPACITY_SAMPLES).map(fraction_of_sample).sum::<f64>() / samples;
        self.up.cores * self.up.speed * mean * span
    }

    fn capacity_fraction(&self, at: f64) -> f64 {
        let progress = (at - self.started_at) / self.up.warm_up_time.max(MIN_WARM_UP);
        (self.up.cold_capacity_fraction + (1.0 - self.up.cold_capacity_fraction) * progress).clamp(0.0, 1.0)
    }

    fn push(&mut self, sent: SentWork, span: f64) {
        let at = sent.at;
        self.largest_work = self.largest_work.max(sent.work);
        self.sent.push_back(sent);
        while self.sent.front().is_some_and(|sent| sent.at <= at - span) {
            self.sent.pop_front();
        }
    }
}

struct CheckState<'a> {
    verdict: Verdict,
    limits: &'a Limits,
    slowdown: ChannelSlowdown,
    warming: BTreeMap<&'a str, WarmingHost<'a>>,
    /// When the latest delta that reached a proxy was published, in seconds, by proxy and controller.
    last_published: BTreeMap<(u32, u32), f64>,
    ownership: SliceOwnership,
}

impl<'a> CheckState<'a> {
    fn on_host_start(&mut self, at: f64, up: &'a HostStarted) {
        if up.cold {
            let host =
                WarmingHost { up, started_at: at, listed_at: None, sent: VecDeque::new(), largest_work: 0.0 };
            self.warming.insert(&up.host, host);
        } else {
            self.warming.remove(up.host.as_str());
        }
    }

    fn on_endpoints(&mut self, at: f64, update: &EndpointsReceived) {
        for entry in &update.entries {
            let Some(host) = self.warming.get_mut(entry.host.as_str()) else { continue };
            let has_start =
                entry.started_at.is_some_and(|started| started >= host.started_at - START_TOLERANCE);
            if has_start && host.listed_at.is_none() {
                host.listed_at = Some(at);
            }
        }
    }

    fn on_delta(&mut self, at: f64, received: &DeltaReceived) {
        self.ownership.on_delta(at, received);
        self.last_published.insert((received.proxy, received.controller), received.delta.published_at);
    }

    fn on_attempt(&mut self, at: f64, attempt: &Attempt) {
        let informed = self.is_informed(at, attempt);
        let Some(host) = self.warming.get_mut(attempt.host.as_str()) else { return };
        if at - host.started_at > host.up.warm_up_time {
            return;
        }
        let span = self.limits.overload_span;
        host.push(SentWork { at, work: attempt.work, informed }, span);
        let total: f64 = host.sent.iter().map(|sent| sent.work).sum();
        let by_informed: f64 = host.sent.iter().filter(|sent| sent.informed).map(|sent| sent.work).sum();
        let from = (at - span).max(host.started_at);
        let budget = self.limits.overload_multiple * host.capacity(from, span);
        let limit_fraction = (total - host.largest_work) / (budget * BUDGET_SLACK);
        if by_informed >= MIN_INFORMED_FRACTION * total {
            self.verdict.check(at, limit_fraction, || {
                format!("{} was sent {total:.2} core seconds, {budget:.2} were its budget", attempt.host)
            });
        }
    }

    /// Whether the attempt's proxy could know of the host's start: the slice's owner published after it received the
    /// start, or had the grace to.
    fn is_informed(&self, at: f64, attempt: &Attempt) -> bool {
        let host = self.warming.get(attempt.host.as_str());
        let Some(listed_at) = host.and_then(|host| host.listed_at) else { return false };
        let owner = self.ownership.owner(attempt.proxy, attempt.slice);
        let published_after =
            self.last_published.get(&(attempt.proxy, owner)).is_some_and(|published| *published >= listed_at);
        published_after || at >= listed_at + self.limits.grace * self.slowdown.max_factor(listed_at, at)
    }
}
