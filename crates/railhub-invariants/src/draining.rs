//! Rule 3: no operation is sent to a draining or gone host after the grace period. If the limits exempt removed hosts,
//! a gone host counts only if it was draining before. Where controllers share the slices, the slice's owner at the
//! proxy is accountable. After a takeover, a drain counts from the time at which the first controller knew of it,
//! unless the former owner could not publish any more.
use crate::channel_slowdown::ChannelSlowdown;
use crate::endpoint_view::EndpointView;
use crate::slice_ownership::SliceOwnership;
use crate::verdict::Verdict;
use railhub_record::{
    Attempt, ControllerLifecycle, EndpointPhase, EndpointsReceived, Event, EventKind, Limits, ProxyStream,
};
use std::collections::BTreeMap;

/// The verdict on rule 3.
pub fn check(events: &[Event], limits: &Limits) -> Verdict {
    let mut state = CheckState {
        verdict: Verdict::new(3, "drains are kept"),
        limits,
        slowdown: ChannelSlowdown::from_events(events),
        drains: BTreeMap::new(),
        streams: BTreeMap::new(),
        ownership: SliceOwnership::default(),
    };
    for event in events {
        match &event.kind {
            Some(EventKind::EndpointsReceived(update)) => state.on_endpoints(event.at, update),
            Some(EventKind::ControllerLifecycle(lifecycle)) => state.on_process_event(event.at, lifecycle),
            Some(EventKind::ProxyStream(stream)) => state.on_stream(event.at, stream),
            Some(EventKind::DeltaReceived(received)) => _ = state.ownership.on_delta(event.at, received),
            Some(EventKind::Attempt(attempt)) => state.on_attempt(event.at, attempt),
            _ => {}
        }
    }
    state.verdict
}

/// The hosts that one controller must drain.
#[derive(Default)]
struct KnownDrains {
    endpoints: EndpointView,
    /// Since when each host must drain, in seconds. A host that is gone after draining stays in it.
    since: BTreeMap<String, f64>,
}

impl KnownDrains {
    /// Applies an endpoint-list update. Returns the number of drains that it starts.
    fn on_update(&mut self, at: f64, update: &EndpointsReceived, limits: &Limits) -> u64 {
        self.endpoints.on_update(at, update);
        let mut started_drains = 0;
        for (host, endpoint) in &self.endpoints.hosts {
            let must_drain = match endpoint.phase {
                EndpointPhase::Ready => false,
                EndpointPhase::Draining => true,
                EndpointPhase::Gone => !limits.removed_hosts_exempt || self.since.contains_key(host),
            };
            if !must_drain {
                self.since.remove(host);
            } else if !self.since.contains_key(host) {
                self.since.insert(host.clone(), endpoint.since);
                started_drains += 1;
            }
        }
        started_drains
    }
}

struct CheckState<'a> {
    verdict: Verdict,
    limits: &'a Limits,
    slowdown: ChannelSlowdown,
    /// By controller.
    drains: BTreeMap<u32, KnownDrains>,
    /// When a stream opened, in seconds, by proxy and controller.
    streams: BTreeMap<(u32, u32), f64>,
    ownership: SliceOwnership,
}

impl CheckState<'_> {
    fn on_endpoints(&mut self, at: f64, update: &EndpointsReceived) {
        let drains = self.drains.entry(update.controller).or_default();
        for _ in 0..drains.on_update(at, update, self.limits) {
            self.verdict.check_passed();
        }
    }

    fn on_process_event(&mut self, at: f64, lifecycle: &ControllerLifecycle) {
        self.ownership.on_process_event(at, lifecycle);
        if !lifecycle.running {
            self.drains.remove(&lifecycle.controller);
        }
    }

    fn on_stream(&mut self, at: f64, stream: &ProxyStream) {
        let key = (stream.proxy, stream.controller);
        if stream.open {
            self.streams.insert(key, at);
        } else {
            self.streams.remove(&key);
        }
    }

    fn on_attempt(&mut self, at: f64, attempt: &Attempt) {
        let (proxy, slice) = (attempt.proxy, attempt.slice);
        let owner = self.ownership.owner(proxy, slice);
        let Some(connected_at) = self.streams.get(&(proxy, owner)) else { return };
        let Some(draining_since) = self.draining_since(owner, attempt) else { return };
        let accountable_since = self.ownership.accountable_since(proxy, slice);
        let from = draining_since.max(*connected_at).max(accountable_since);
        let grace = self.limits.grace * self.slowdown.max_factor(from, at);
        let seconds_late = at - from;
        self.verdict.check(at, seconds_late / grace, || {
            format!("proxy {proxy} sent to {} {seconds_late:.2} s after it was to be left", attempt.host)
        });
    }

    /// Since when the owner of the attempt's slice has known that the host must drain; `None` if it does not know or
    /// cannot publish. After a takeover, the first controller that knew counts.
    fn draining_since(&self, owner: u32, attempt: &Attempt) -> Option<f64> {
        let drain_start = |drains: &KnownDrains| drains.since.get(&attempt.host).copied();
        let owner_drain_start = self.drains.get(&owner).and_then(drain_start)?;
        if !self.ownership.can_publish(owner) {
            return None;
        }
        if !self.ownership.took_over(attempt.proxy, attempt.slice) {
            return Some(owner_drain_start);
        }
        Some(self.drains.values().filter_map(drain_start).fold(owner_drain_start, f64::min))
    }
}
