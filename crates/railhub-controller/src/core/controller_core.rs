//! The state of the controller core, and its handling of all events except those of streams and leases.
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

/// The controller's logic, without sockets, threads and clocks.
pub struct ControllerCore<C> {
    pub(super) settings: ControllerSettings,
    pub(super) engine: Box<dyn DecisionEngine + Send>,
    pub(super) tables: Tables,
    /// Identifies this controller process. Version numbers are comparable only within one incarnation.
    pub(super) incarnation: u64,
    pub(super) sessions: Sessions<C>,
    /// Events collected since the last batch was processed.
    pub(super) batch: EventBatch,
    reports: ReportAggregator,
    reports_flushed_at: Seconds,
    pub(super) timers: Timers,
    timer_delays: DurationHistogram,
    list_received: bool,
    slices_received: bool,
    /// Present if several controllers share the slices.
    pub(super) shared: Option<SharedSlices>,
    /// When sessions were last checked for overdue responses.
    pub(super) stalled_checked_at: Seconds,
    pub(super) propagation: PropagationTracker,
    pub(super) figures: Figures,
}

impl<C: ProxyChannel> ControllerCore<C> {
    /// Creates a core with the decision engine of the package `railhub`. `incarnation` must differ for each process.
    pub fn new(settings: ControllerSettings, incarnation: u64, now: Seconds) -> ControllerCore<C> {
        let engine = Box::new(Controller::new(settings.config.clone()));
        ControllerCore::with_engine(engine, settings, incarnation, now)
    }

    /// Creates a core with another decision engine.
    pub fn with_engine(
        engine: Box<dyn DecisionEngine + Send>,
        settings: ControllerSettings,
        incarnation: u64,
        now: Seconds,
    ) -> ControllerCore<C> {
        let shares_slices = settings.shares_slices();
        ControllerCore {
            engine,
            // If slices are shared, a controller serves its proxies even while it holds no slice.
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

    /// Handles an update of the endpoint list.
    pub fn on_endpoint_list(&mut self, list: EndpointList) {
        self.list_received = true;
        if let Some(shared) = &mut self.shared {
            shared.expired.on_endpoint_list(&list);
        }
        self.batch.endpoint_lists.push(list);
    }

    /// Handles the store's list of all slices and their tables. Used only by a controller that does not share slices.
    pub fn on_assignments(&mut self, assignments: Vec<SliceAssignment>) {
        self.slices_received = true;
        for assignment in &assignments {
            if let SliceAssignment::Assigned { slice, entries } = assignment {
                self.tables.load_table(*slice, entries);
            }
        }
        self.batch.assignments.extend(assignments);
    }

    /// Handles the result of a health check.
    pub fn on_health_check(&mut self, result: HealthCheckResult) {
        self.batch.health_checks.push(result);
    }

    /// Whether the endpoint list and the slices have been received. Until then there is nothing to decide or publish.
    pub fn is_ready(&self) -> bool {
        self.list_received && self.slices_received
    }

    /// Whether any proxy has not yet responded to a change.
    pub fn awaits_responses(&self) -> bool {
        self.propagation.is_awaiting()
    }

    /// The time at which the next timer is due, if any is set.
    pub fn next_timer_due(&self) -> Option<Seconds> {
        self.timers.next_due()
    }

    /// Moves the timers that are due into the batch. Returns whether load reports are to be flushed, which is the case
    /// whenever a timer is due and before the first batch.
    pub fn take_due_timers(&mut self, now: Seconds) -> bool {
        let due = self.timers.take_due(now);
        for pending in &due {
            self.timer_delays.record(now - pending.due);
            self.batch.timers.push(pending.timer);
            self.figures.timers_fired += 1;
        }
        !due.is_empty() || self.figures.batches == 0
    }

    /// Aggregates a proxy's load report. Ignored unless the proxy is joined on this stream.
    pub fn on_load_report(&mut self, stream: StreamId, proxy: ProxyId, zone: ZoneId, report: &LoadReport) {
        if self.sessions.on_stream(proxy, stream).is_some_and(|session| session.is_joined()) {
            self.reports.add(zone, report, self.sessions.joined_count());
        }
    }

    /// Moves aggregated load reports into the batch, as many as the rate limit allows.
    pub fn flush_load_reports(&mut self, now: Seconds) {
        let elapsed = now - self.reports_flushed_at;
        let (hosts, slices) = self.reports.flush(elapsed, self.settings.max_reports_per_second);
        self.reports_flushed_at = now;
        self.batch.host_loads.extend(hosts);
        self.batch.slice_loads.extend(slices);
    }

    /// Passes the events collected since the last batch, if any, to the decision engine and executes its commands.
    /// `clock` is read once the engine has handled the batch.
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

    /// The core's current counters and measurements.
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

/// Whether the batch has to be processed. Load reports alone do not count: they are flushed with the next timer.
fn has_events(batch: &EventBatch) -> bool {
    !batch.endpoint_lists.is_empty()
        || !batch.assignments.is_empty()
        || !batch.proxy_streams.is_empty()
        || !batch.health_checks.is_empty()
        || !batch.barrier_acks.is_empty()
        || !batch.undelivered_exclusions.is_empty()
        || !batch.timers.is_empty()
}
