//! Rule 1: while a warm host is listed as ready, a connected proxy has a usable host for each slice, except for spans
//! within the limit.
use crate::channel_slowdown::ChannelSlowdown;
use crate::endpoint_view::EndpointView;
use crate::proxy_tables::ProxyTables;
use crate::slice_ownership::SliceOwnership;
use crate::verdict::Verdict;
use railhub_record::{
    ControllerLifecycle, DeltaReceived, EndpointPhase, EndpointsReceived, Event, EventKind, Limits,
    ProxyStream,
};
use std::collections::BTreeMap;

/// The verdict on rule 1.
pub fn check(events: &[Event], limits: &Limits) -> Verdict {
    let mut state = CheckState {
        proxies: BTreeMap::new(),
        endpoints: EndpointView::default(),
        spans: UnservedSpans {
            verdict: Verdict::new(1, "nobody left without a host"),
            streams: BTreeMap::new(),
            ownership: SliceOwnership::default(),
            warm_since: None,
            limits,
            slowdown: ChannelSlowdown::from_events(events),
        },
    };
    for event in events {
        match &event.kind {
            Some(EventKind::EndpointsReceived(update)) => state.on_endpoints(event.at, update),
            Some(EventKind::ProxyStream(stream)) => state.on_stream(event.at, stream),
            Some(EventKind::DeltaReceived(received)) => state.on_delta(event.at, received),
            Some(EventKind::ControllerLifecycle(lifecycle)) => state.on_process_event(event.at, lifecycle),
            _ => {}
        }
    }
    state.check_open_spans(events.last().map_or(0.0, |event| event.at));
    state.spans.verdict
}

struct CheckState<'a> {
    /// The tables of the proxies, by the proxy's number.
    proxies: BTreeMap<u32, ProxyTables>,
    endpoints: EndpointView,
    spans: UnservedSpans<'a>,
}

impl CheckState<'_> {
    fn on_endpoints(&mut self, at: f64, update: &EndpointsReceived) {
        self.endpoints.on_update(at, update);
        let previous_warm_since = self.spans.warm_since.filter(|since| *since <= at);
        let new_warm_since = self.first_warm_at().map(|first| match previous_warm_since {
            Some(since) if first <= at => since,
            _ => first.max(at),
        });
        let interrupted = previous_warm_since.is_some() && new_warm_since != previous_warm_since;
        if new_warm_since.is_none() || interrupted {
            self.check_open_spans(at);
        }
        self.spans.warm_since = new_warm_since;
    }

    /// When the first of the hosts listed as ready is warm; may lie in the future.
    fn first_warm_at(&self) -> Option<f64> {
        let max_warm_up = self.spans.limits.max_warm_up;
        let ready = self.endpoints.hosts.values().filter(|endpoint| endpoint.phase == EndpointPhase::Ready);
        let warm_at = ready.map(|endpoint| endpoint.started_at.map_or(0.0, |started| started + max_warm_up));
        warm_at.min_by(f64::total_cmp)
    }

    fn on_stream(&mut self, at: f64, stream: &ProxyStream) {
        let proxy = self.proxies.entry(stream.proxy).or_default();
        let key = (stream.proxy, stream.controller);
        if stream.open {
            self.spans.streams.insert(key, at);
            proxy.update_unserved(at, self.spans.limits.slices);
        } else {
            self.spans.check(stream.proxy, &proxy.unserved, at);
            self.spans.streams.remove(&key);
        }
    }

    fn on_delta(&mut self, at: f64, received: &DeltaReceived) {
        let stale = self.spans.ownership.on_delta(at, received);
        let proxy = self.proxies.entry(received.proxy).or_default();
        let mut ended_spans = proxy.unserved.clone();
        proxy.apply(at, &received.delta, &stale, self.spans.limits.slices);
        ended_spans.retain(|slice, _| !proxy.unserved.contains_key(slice));
        self.spans.check(received.proxy, &ended_spans, at);
    }

    fn on_process_event(&mut self, at: f64, lifecycle: &ControllerLifecycle) {
        self.spans.ownership.on_process_event(at, lifecycle);
        if self.spans.ownership.none_running() {
            self.check_open_spans(at);
            self.endpoints.clear();
            self.spans.warm_since = None;
        }
    }

    /// Checks all open spans, and restarts them at `at`.
    fn check_open_spans(&mut self, at: f64) {
        for (proxy_number, proxy) in &mut self.proxies {
            self.spans.check(*proxy_number, &proxy.unserved, at);
            for since in proxy.unserved.values_mut() {
                *since = at;
            }
        }
    }
}

/// Checks the spans in which a slice had no usable host at a proxy.
struct UnservedSpans<'a> {
    verdict: Verdict,
    /// When a stream opened, in seconds, by proxy and controller.
    streams: BTreeMap<(u32, u32), f64>,
    ownership: SliceOwnership,
    /// Since when a warm host has been listed as ready without interruption; may lie in the future.
    warm_since: Option<f64>,
    limits: &'a Limits,
    slowdown: ChannelSlowdown,
}

impl UnservedSpans<'_> {
    /// Checks the spans of a proxy up to `at`. The proxy counts as connected for a slice while it has a stream to the
    /// slice's owner.
    fn check(&mut self, proxy: u32, unserved: &BTreeMap<u32, f64>, at: f64) {
        let Some(warm_since) = self.warm_since else { return };
        for (slice, since) in unserved {
            let owner = self.ownership.owner(proxy, *slice);
            let Some(connected_at) = self.streams.get(&(proxy, owner)) else { continue };
            let accountable_since = self.ownership.accountable_since(proxy, *slice);
            let from = since.max(*connected_at).max(warm_since).max(accountable_since);
            let limit = self.limits.max_unserved * self.slowdown.max_factor(from, at);
            let limit_fraction = (at - from) / limit;
            if limit_fraction > 0.0 {
                self.verdict.check(at, limit_fraction, || {
                    format!("proxy {proxy} had no line for slice {slice} for {:.2} s", at - from)
                });
            }
        }
    }
}
