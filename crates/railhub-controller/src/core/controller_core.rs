//! The core's state, and the events that it takes apart from those of streams and leases.
use super::environment::Environment;
use super::figures::{DurationHistogram, Figures};
use super::propagation::PropagationTracker;
use super::proxy_channel::{ProxyChannel, StreamId};
use super::sessions::Sessions;
use super::shared_slices::SharedSlices;
use super::timers::Timers;
use crate::decision_engine::DecisionEngine;
use crate::delta_builder::DeltaBuilder;
use crate::report_aggregator::ReportAggregator;
use crate::settings::ControllerSettings;
use crate::tables::Tables;
use railhub::{
    Controller, EndpointList, EventBatch, HealthCheckResult, ProxyId, Seconds, SliceAssignment, ZoneId,
};
use railhub_proto::LoadReport;

/// A controller without sockets, threads and clocks.
pub struct ControllerCore<C> {
    pub(super) settings: ControllerSettings,
    pub(super) engine: Box<dyn DecisionEngine + Send>,
    pub(super) tables: Tables,
    /// This process; each version is of one process.
    pub(super) incarnation: u64,
    pub(super) sessions: Sessions<C>,
    /// Events since the last batch.
    pub(super) batch: EventBatch,
    reports: ReportAggregator,
    reports_flushed_at: Seconds,
    pub(super) timers: Timers,
    timer_delays: DurationHistogram,
    list_received: bool,
    slices_received: bool,
    /// Present where controllers share the slices.
    pub(super) shared: Option<SharedSlices>,
    /// When sessions were last checked for responses that are overdue.
    pub(super) stalled_checked_at: Seconds,
    pub(super) propagation: PropagationTracker,
    pub(super) figures: Figures,
}

impl<C: ProxyChannel> ControllerCore<C> {
    /// A core with the decisions of the package `railhub`. `incarnation` differs for each process.
    pub fn new(settings: ControllerSettings, incarnation: u64, now: Seconds) -> ControllerCore<C> {
        let engine = Box::new(Controller::new(settings.config.clone()));
        ControllerCore::with_engine(engine, settings, incarnation, now)
    }

    /// A core with other decisions.
    pub fn with_engine(
        engine: Box<dyn DecisionEngine + Send>,
        settings: ControllerSettings,
        incarnation: u64,
        now: Seconds,
    ) -> ControllerCore<C> {
        let shares_slices = settings.shares_slices();
        ControllerCore {
            engine,
            // Where controllers share the slices, one that has none yet serves its proxies all the same.
            slices_received: settings.config.slice_count == 0 || shares_slices,
            shared: shares_slices.then(SharedSlices::default),
            tables: Tables::default(),
            incarnation,
            sessions: Sessions::new(),
            batch: EventBatch::default(),
            reports: ReportAggregator::default(),
            reports_flushed_at: now,
            timers: Timers::default(),
            timer_delays: DurationHistogram::new(),
            list_received: false,
            stalled_checked_at: now,
            propagation: PropagationTracker::new(now),
            figures: Figures::default(),
            settings,
        }
    }

    /// Takes an update of the endpoint list.
    pub fn on_endpoint_list(&mut self, list: EndpointList) {
        self.list_received = true;
        if let Some(shared) = &mut self.shared {
            shared.expired.on_endpoint_list(&list);
        }
        self.batch.endpoint_lists.push(list);
    }

    /// Takes all slices with their tables, where this controller is alone.
    pub fn on_assignments(&mut self, assignments: Vec<SliceAssignment>) {
        self.slices_received = true;
        for assignment in &assignments {
            if let SliceAssignment::Assigned { slice, entries } = assignment {
                self.tables.load_table(*slice, entries);
            }
        }
        self.batch.assignments.extend(assignments);
    }

    /// Takes the result of a health check.
    pub fn on_health_check(&mut self, result: HealthCheckResult) {
        self.batch.health_checks.push(result);
    }

    /// Whether the endpoint list and the slices are known. Before, there is nothing to decide and nothing to publish.
    pub fn is_ready(&self) -> bool {
        self.list_received && self.slices_received
    }

    /// Whether some proxy owes a response to a change.
    pub fn awaits_responses(&self) -> bool {
        self.propagation.is_awaiting()
    }

    /// When the next timer is due.
    pub fn next_timer_due(&self) -> Option<Seconds> {
        self.timers.next_due()
    }

    /// Takes the timers that are due. Returns whether load reports are to be flushed: with each timer, and before the
    /// first batch.
    pub fn take_due_timers(&mut self, now: Seconds) -> bool {
        let due = self.timers.take_due(now);
        for pending in &due {
            self.timer_delays.record(now - pending.due);
            self.batch.timers.push(pending.timer);
            self.figures.timers_fired += 1;
        }
        !due.is_empty() || self.figures.batches == 0
    }

    /// Adds a load report of a proxy that is joined on this stream.
    pub fn on_load_report(&mut self, stream: StreamId, proxy: ProxyId, zone: ZoneId, report: &LoadReport) {
        if self.sessions.on_stream(proxy, stream).is_some_and(|session| session.is_joined()) {
            self.reports.add(zone, report, self.sessions.joined_count());
        }
    }

    /// Gives the decisions the load reports that the rate allows.
    pub fn flush_load_reports(&mut self, now: Seconds) {
        let elapsed = now - self.reports_flushed_at;
        let (hosts, slices) = self.reports.flush(elapsed, self.settings.max_reports_per_second);
        self.reports_flushed_at = now;
        self.batch.host_loads.extend(hosts);
        self.batch.slice_loads.extend(slices);
    }

    /// Gives the decisions the events since the last batch, if there are any, and carries out their commands. `clock`
    /// gives the time at the end of the decisions.
    pub fn process(&mut self, now: Seconds, clock: impl Fn() -> Seconds, environment: &mut impl Environment) {
        if !has_events(&self.batch) {
            return;
        }
        let mut batch = std::mem::take(&mut self.batch);
        batch.now = now;
        let mut commands = DeltaBuilder::default();
        self.engine.handle_batch(&batch, &mut commands);
        if let Some(shared) = &mut self.shared {
            for (slice, received) in std::mem::take(&mut shared.handoffs) {
                let age = now - received.written_at;
                self.engine.import_handoff(now, slice, &received.handoff, age);
            }
        }
        let decided_at = clock();
        self.figures.batches += 1;
        self.figures.longest_batch = self.figures.longest_batch.max(decided_at - now);
        self.execute(commands, decided_at, environment);
    }

    /// What the core has done so far.
    pub fn figures(&self) -> Figures {
        Figures {
            timer_delay_p50: self.timer_delays.quantile(0.5),
            timer_delay_p99: self.timer_delays.quantile(0.99),
            timer_delay_max: self.timer_delays.max(),
            propagation_p50: self.propagation.quantile(0.5),
            propagation_p99: self.propagation.quantile(0.99),
            propagation_latest: self.propagation.latest(),
            joined: self.sessions.joined_count(),
            versions: self.tables.version,
            reports_dropped: self.reports.dropped,
            ..self.figures.clone()
        }
    }
}

/// Load reports alone make no batch: they come with the next timer.
fn has_events(batch: &EventBatch) -> bool {
    !batch.endpoint_lists.is_empty()
        || !batch.assignments.is_empty()
        || !batch.proxy_streams.is_empty()
        || !batch.health_checks.is_empty()
        || !batch.barrier_acks.is_empty()
        || !batch.timers.is_empty()
}
