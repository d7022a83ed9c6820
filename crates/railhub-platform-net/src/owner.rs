//! The thread that owns the controller: takes in words and sums, runs rounds, hands calls over one at a time.
use crate::clock::now;
use crate::probes::Probes;
use crate::relay::Calls;
use crate::shared::{ControllerEvent, LoadReport, Shared};
use hdrhistogram::Histogram;
use railhub::Seconds;
use railhub_net::seconds;

use railhub_platform::{CallResponse, NodeConfig, PlatformController};
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Seconds the owner sleeps at most: reports wake nobody and must not wait long.
const LONGEST_SLEEP: Seconds = 0.2;
/// Seconds before a call that was not let in, or whose end is not known, is made again.
const CALL_PAUSE: Seconds = 0.1;
/// Microseconds past which a lateness is counted as this one.
const LONGEST_TIME: u64 = 60_000_000;
/// Words taken in for one round: a round must end.
const WORDS_A_ROUND: usize = 2048;

/// What the log tells of the controller.
#[derive(Clone, Debug, Default)]
pub struct StatusSnapshot {
    pub generation: u64,
    pub joined: usize,
    pub hosts: usize,
    pub waiting: usize,
    pub rounds: u64,
    pub informed: bool,
    pub sums_dropped: u64,
    pub probes_dropped: u64,
    /// Probes that told of a host as it was before.
    pub probes_outrun: u64,
    /// Commands that a later one about the same made needless.
    pub folded: u64,
    /// Levels of classes that the settings do not name: left out.
    pub unnamed: u64,
    pub late_99: Seconds,
    pub late_most: Seconds,
    pub call_99: Seconds,
    pub call_most: Seconds,
    /// From the first report that no call had followed to the answer of the next call.
    pub report_99: Seconds,
    pub report_most: Seconds,
    pub longest_round: Seconds,
}

pub struct Owner {
    controller: PlatformController,
    shared: Arc<Shared>,
    calls: Calls,
    probes: Probes,
    call_not_before: Seconds,
    called_at: Seconds,
    /// When the oldest report came that no call has followed yet, and that of the call which is out.
    reported_at: Option<Seconds>,
    called_for: Option<Seconds>,
    late: Histogram<u64>,
    called: Histogram<u64>,
    reported: Histogram<u64>,
    started_at: Seconds,
    /// The relay has taken an order.
    has_ordered: bool,
    shown: StatusSnapshot,
}

impl Owner {
    pub fn new(assignment: &NodeConfig, shared: &Arc<Shared>, calls: Calls, probes: Probes) -> Owner {
        let times = || Histogram::new_with_max(LONGEST_TIME, 2).expect("two digits are allowed");
        let mut owner = Owner {
            controller: PlatformController::new(assignment),
            shared: shared.clone(),
            calls,
            probes,
            call_not_before: 0.0,
            called_at: 0.0,
            reported_at: None,
            called_for: None,
            late: times(),
            called: times(),
            reported: times(),
            started_at: now(),
            has_ordered: false,
            shown: StatusSnapshot::default(),
        };
        // The watch asks for what came after the known list from the first.
        owner.show();
        owner
    }

    pub fn run(mut self) {
        self.shared.inbox.own();
        loop {
            self.sleep();
            for _ in 0..WORDS_A_ROUND {
                match self.shared.inbox.next_word() {
                    Some(word) => self.hear(word),
                    None => break,
                }
            }
            while let Some(sum) = self.shared.inbox.next_report() {
                self.reported_at.get_or_insert_with(now);
                match sum {
                    LoadReport::HostLoad(sum) => {
                        tracing::debug!(?sum, "tries");
                        self.controller.on_host_load(sum);
                    }
                    LoadReport::SliceLoad(sum) => {
                        tracing::trace!(?sum, "demand");
                        self.controller.on_slice_load(sum);
                    }
                }
            }
            self.act();
            self.call();
            self.show();
        }
    }

    fn sleep(&self) {
        let now = now();
        let again =
            (self.controller.commands_pending() > 0).then_some(self.call_not_before).filter(|at| *at > now);
        let due = [self.controller.next_deadline(), again]
            .into_iter()
            .flatten()
            .fold(now + LONGEST_SLEEP, f64::min);
        if self.shared.inbox.is_quiet() && due > now {
            std::thread::park_timeout(seconds(due - now));
        }
    }

    fn hear(&mut self, word: ControllerEvent) {
        match word {
            ControllerEvent::EndpointPage(page) => {
                let (generation, hosts, whole) = (page.generation, page.entries.len(), page.complete);
                if self.controller.on_endpoint_page(now(), &page) {
                    tracing::info!(generation, hosts, whole, "the host list has news");
                } else if generation < self.controller.generation() {
                    // An older file's watch overtook it: what this one says next would build on what was not taken.
                    tracing::info!(generation, "a page is older than the list: the watch asks anew");
                    self.shared.watch_line.close();
                }
                self.shared.page_room.post();
            }
            ControllerEvent::Asked(source) => self.controller.on_subscription_requested(source),
            ControllerEvent::RelayEvent(source, news) => self.controller.on_relay_event(now(), source, news),
            ControllerEvent::Ended(source) => self.controller.on_subscription_ended(source),
            ControllerEvent::Probe(probe, end) => {
                tracing::debug!(host = %probe.host, ?end, "probe");
                self.controller.on_probe_result(&probe, end);
            }
            ControllerEvent::CallEnded(answer) => self.end_call(answer),
        }
    }

    fn end_call(&mut self, answer: Option<CallResponse>) {
        let counts = &self.shared.counts;
        if !matches!(answer, Some(CallResponse::Accepted(_) | CallResponse::Malformed)) {
            let count = if answer.is_none() { &counts.calls_unknown } else { &counts.calls_turned_away };
            count.fetch_add(1, Ordering::Relaxed);
            self.call_not_before = now() + CALL_PAUSE;
        } else {
            let now = now();
            if !std::mem::replace(&mut self.has_ordered, true) {
                let after = now - self.started_at;
                tracing::info!(after, "the relay has answered the first call");
            }
            self.called.saturating_record(micros(now - self.called_at));
            if let Some(reported_at) = self.called_for.take() {
                self.reported.saturating_record(micros(now - reported_at));
            }
        }
        if let Some(dropped) = self.controller.on_call_ended(answer) {
            tracing::error!("{dropped}");
        }
    }

    fn act(&mut self) {
        let began = now();
        let effects = self.controller.poll(began);
        for late in &effects.timer_lateness {
            self.late.saturating_record(micros(*late));
        }
        effects.probes.into_iter().for_each(|probe| self.probes.ask(probe));
        for cause in effects.notices {
            tracing::info!(%cause, "decision");
        }
        self.shown.rounds += effects.batches;
        self.shown.longest_round = self.shown.longest_round.max(now() - began);
        if let Some(why) = self.controller.take_resubscribe_reason() {
            tracing::warn!(%why, "what the relay holds is asked for anew");
            self.shared.news_line.close();
        }
    }

    fn call(&mut self) {
        if now() < self.call_not_before {
            return;
        }
        if let Some(call) = self.controller.next_call() {
            self.shared.counts.calls.fetch_add(1, Ordering::Relaxed);
            tracing::debug!(id = call.id, orders = call.commands, bytes = call.bytes.len(), "a call leaves");
            tracing::trace!(said = %String::from_utf8_lossy(&call.bytes).trim_end(), "call");
            self.called_at = now();
            self.called_for = self.called_for.or(self.reported_at.take());
            self.calls.make(call);
        }
    }

    fn show(&mut self) {
        let span = |micros: u64| micros as f64 / 1e6;
        let shown = &mut self.shown;
        shown.generation = self.controller.generation();
        (shown.joined, shown.hosts) = (self.controller.proxies_joined(), self.controller.hosts_listed());
        (shown.waiting, shown.informed) =
            (self.controller.commands_pending(), self.controller.is_synchronized());
        shown.sums_dropped =
            self.controller.load_reports_dropped() + self.shared.inbox.sums_dropped.load(Ordering::Relaxed);
        (shown.probes_dropped, shown.folded) = (self.probes.dropped(), self.controller.commands_folded());
        (shown.probes_outrun, shown.unnamed) =
            (self.controller.probes_outdated(), self.controller.commands_unnamed());
        let tail = |times: &Histogram<u64>| (span(times.value_at_quantile(0.99)), span(times.max()));
        (shown.late_99, shown.late_most) = tail(&self.late);
        (shown.call_99, shown.call_most) = tail(&self.called);
        (shown.report_99, shown.report_most) = tail(&self.reported);
        *self.shared.owner.lock().expect("no holder panics") = shown.clone();
    }
}

fn micros(span: Seconds) -> u64 {
    (span.max(0.0) * 1e6) as u64
}
