//! The simulated controller: the real controller core, with update channels that the simulation drains at their rate.
use crate::baseline::BaselineController;
use crate::endpoint_list::{endpoint_list_message, endpoints_received};
use crate::events::{HostIndex, ProxyIndex, ScheduledEvent};
use crate::simulation::{Policy, Simulation};
use railhub::{
    HealthCheckOutcome, HealthCheckResult, HostId, ProxyId, Seconds, SliceAssignment, SliceId,
    UndeliveredExclusion, WeightedHost, ZoneId,
};
use railhub_controller::change::Change;
use railhub_controller::core::{
    CloseReason, ControllerCore, Environment, ProxyChannel, SessionEvent, StreamId,
};
use railhub_controller::delta_queue::{
    DeltaQueue, DeltaResponse, MessageQuota, ResponseEffect, WriterAction,
};
use railhub_controller::publication::Publication;
use railhub_external_engine::ExternalEngine;
use railhub_proto::{LoadReport, Subscribe};
use railhub_record::{ControllerLifecycle, DeltaAcknowledged, DeltaReceived, EventKind, ProxyStream};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;

/// Time until a change of the endpoint list reaches the controller; the same as with the emulated list.
const LIST_UPDATE_DELAY_SECONDS: f64 = 0.01;
/// Time that a controller takes to start.
const CONTROLLER_START_SECONDS: f64 = 0.03;

/// Time within which health check results are handled as one batch, as the controller's thread does while it wakes.
const HEALTH_CHECK_BATCH_SECONDS: f64 = 0.001;

/// Proxies whose channel has something new to write; the others are skipped.
type PendingWrites = Rc<RefCell<BTreeSet<ProxyIndex>>>;

/// The update channel of a proxy, shared with the controller core.
#[derive(Clone)]
pub struct SimulatedChannel(Rc<RefCell<ChannelState>>);

struct ChannelState {
    delta_queue: DeltaQueue,
    closed: bool,
    proxy: ProxyIndex,
    pending_writes: PendingWrites,
}

impl SimulatedChannel {
    fn new(
        message_quota: MessageQuota,
        proxy: ProxyIndex,
        pending_writes: PendingWrites,
    ) -> SimulatedChannel {
        let state = ChannelState {
            delta_queue: DeltaQueue::new(message_quota),
            closed: false,
            proxy,
            pending_writes,
        };
        SimulatedChannel(Rc::new(RefCell::new(state)))
    }
}

impl ChannelState {
    fn mark_pending(&self) {
        self.pending_writes.borrow_mut().insert(self.proxy);
    }
}

impl ProxyChannel for SimulatedChannel {
    fn push(&self, publication: Arc<Publication>) {
        let state = &mut *self.0.borrow_mut();
        state.delta_queue.push(publication);
        state.mark_pending();
    }
    fn on_response(&self, nonce: u64, response: DeltaResponse) -> ResponseEffect {
        self.0.borrow_mut().delta_queue.on_response(nonce, response)
    }
    fn rejected_exclusions(&self) -> Vec<UndeliveredExclusion> {
        self.0.borrow().delta_queue.rejected_exclusions()
    }
    fn is_idle(&self) -> bool {
        self.0.borrow().delta_queue.is_idle()
    }
    fn backlog_lines(&self, message_cost: f64) -> f64 {
        self.0.borrow().delta_queue.backlog_lines(message_cost)
    }
    fn unacknowledged_since(&self) -> Option<Seconds> {
        self.0.borrow().delta_queue.unacknowledged_since()
    }
    fn merged(&self) -> u64 {
        self.0.borrow().delta_queue.merged
    }
    fn close(&self, _: CloseReason) {
        let state = &mut *self.0.borrow_mut();
        state.closed = true;
        state.mark_pending();
    }
}

/// What the core asked for while it processed its input.
#[derive(Default)]
struct CoreRequests {
    health_checks: Vec<HostId>,
    stored_tables: Vec<(SliceId, Vec<WeightedHost>)>,
}

impl Environment for CoreRequests {
    fn check_health(&mut self, host: HostId) {
        self.health_checks.push(host);
    }
    fn store_table(&mut self, slice: SliceId, _: u64, entries: Vec<WeightedHost>) {
        self.stored_tables.push((slice, entries));
    }
    fn decided(&mut self, _: &str) {}
    fn published(&mut self, _: &Change, _: u64) {}
    fn session_event(&mut self, _: ProxyId, _: SessionEvent) {}
}

/// Decides the tables: the controller core or a baseline policy.
enum DecisionMaker {
    ControllerCore(Box<ControllerCore<SimulatedChannel>>),
    Baseline(Box<BaselineController>),
}

/// A running controller.
pub struct Controller {
    decision_maker: DecisionMaker,
    incarnation: u64,
    channels: Vec<Option<(StreamId, SimulatedChannel)>>,
    /// Reports received since the last wake-up.
    load_reports: Vec<(StreamId, ProxyIndex, Box<LoadReport>)>,
    next_wake: f64,
    pending_writes: PendingWrites,
    /// Whether a wake-up for received health check results is scheduled.
    health_batch_pending: bool,
}

impl Simulation<'_> {
    /// Starts the controller of the policy, unless the tables are fixed.
    pub fn start_controller(&mut self) {
        if self.policy == Policy::Fixed {
            return;
        }
        self.incarnation += 1;
        let now = self.event_queue.now;
        let (controller_settings, incarnation) = (self.controller_settings.clone(), self.incarnation);
        let decision_maker = match &self.policy {
            Policy::Baseline(policy) => {
                DecisionMaker::Baseline(Box::new(BaselineController::new(*policy, self.scenario.slices)))
            }
            Policy::Version(program) => {
                match ExternalEngine::start(program, &controller_settings.config, self.scenario.zones.len()) {
                    Ok((engine, error_slot)) => {
                        self.engine_errors.push(error_slot);
                        let engine = Box::new(engine);
                        DecisionMaker::ControllerCore(Box::new(ControllerCore::with_engine(
                            engine,
                            controller_settings,
                            incarnation,
                            now,
                        )))
                    }
                    Err(error) => {
                        self.engine_errors.push(Arc::new(std::sync::Mutex::new(Some(error))));
                        return;
                    }
                }
            }
            _ => DecisionMaker::ControllerCore(Box::new(ControllerCore::new(
                controller_settings,
                incarnation,
                now,
            ))),
        };
        if let DecisionMaker::Baseline(baseline) = &decision_maker {
            baseline
                .wake_interval()
                .into_iter()
                .for_each(|delay| self.event_queue.after(delay, ScheduledEvent::ControllerWakes));
        }
        let (incarnation, channels) = (self.incarnation, vec![None; self.proxies.len()]);
        self.controller = Some(Controller {
            decision_maker,
            incarnation,
            channels,
            load_reports: Vec::new(),
            next_wake: f64::INFINITY,
            pending_writes: PendingWrites::default(),
            health_batch_pending: false,
        });
        self.record(EventKind::ControllerLifecycle(ControllerLifecycle {
            running: true,
            ..ControllerLifecycle::default()
        }));
        if self.scenario.slices > 0 && !self.store_unavailable {
            self.load_assignments();
        }
        if let Some(lines) = self.endpoint_list.take_complete() {
            self.receive_endpoint_list(true, &lines);
        }
        for proxy in std::mem::take(&mut self.waiting_proxies) {
            self.event_queue.after(self.timing_model.message_latency, ScheduledEvent::ProxyConnects(proxy));
        }
    }

    pub fn schedule_controller_start(&mut self) {
        self.event_queue.after(CONTROLLER_START_SECONDS, ScheduledEvent::ControllerStarts);
    }

    /// Ends the controller without notice, and with it all streams.
    pub fn kill_controller(&mut self) {
        let Some(controller) = self.controller.take() else { return };
        self.record(EventKind::ControllerLifecycle(ControllerLifecycle {
            running: false,
            ..ControllerLifecycle::default()
        }));
        for proxy in 0..controller.channels.len() {
            if controller.channels[proxy].is_some() {
                self.on_stream_closed(proxy);
            }
        }
    }

    /// Gives the controller the tables in the store.
    fn load_assignments(&mut self) {
        let entry = |(host, weight): &(std::net::SocketAddr, f64)| WeightedHost {
            host: HostId::from(*host),
            weight: *weight,
        };
        let tables = self.tables.iter().map(|(slice, lines)| SliceAssignment::Assigned {
            slice: SliceId(*slice as u16),
            entries: lines.iter().map(entry).collect(),
        });
        let assignments: Vec<SliceAssignment> = tables.collect();
        match self.controller.as_mut().map(|controller| &mut controller.decision_maker) {
            Some(DecisionMaker::ControllerCore(core)) => core.on_assignments(assignments),
            Some(DecisionMaker::Baseline(baseline)) => baseline.load_assignments(&assignments),
            None => {}
        }
    }

    /// Ends the unavailability of the store: writes the waiting tables and gives a controller that waits for its
    /// assignments the stored ones.
    pub fn restore_store(&mut self) {
        self.store_unavailable = false;
        for (slice, lines) in std::mem::take(&mut self.unsaved_tables) {
            self.tables.insert(slice, lines);
        }
        let awaits_assignments = |controller: &Controller| {
            let maker = &controller.decision_maker;
            matches!(maker, DecisionMaker::ControllerCore(core) if !core.is_ready())
        };
        if self.controller.as_ref().is_some_and(awaits_assignments) {
            self.load_assignments();
            self.run_controller();
        }
    }

    /// Schedules the delivery of the list's changes to the controller.
    pub fn schedule_list_update(&mut self) {
        self.event_queue.after(LIST_UPDATE_DELAY_SECONDS, ScheduledEvent::ListUpdateArrives);
    }

    pub fn deliver_list_update(&mut self) {
        if self.controller.is_none() {
            return;
        }
        if let Some(changes) = self.endpoint_list.take_changes() {
            self.receive_endpoint_list(false, &changes);
        }
    }

    fn receive_endpoint_list(
        &mut self,
        complete: bool,
        lines: &[(std::net::SocketAddr, crate::endpoint_list::EndpointState)],
    ) {
        self.record(EventKind::EndpointsReceived(endpoints_received(complete, lines)));
        self.known_endpoints.extend(lines.iter().copied());
        let endpoint_list = endpoint_list_message(complete, lines);
        match self.controller.as_mut().map(|controller| &mut controller.decision_maker) {
            Some(DecisionMaker::ControllerCore(core)) => core.on_endpoint_list(endpoint_list),
            Some(DecisionMaker::Baseline(_)) => self.publish_baseline_change(),
            None => {}
        }
        self.run_controller();
    }

    /// Publishes the next change of a baseline policy, if there is one.
    fn publish_baseline_change(&mut self) {
        let (incarnation, now) = (self.incarnation, self.event_queue.now);
        let Some(controller) = self.controller.as_mut() else { return };
        let DecisionMaker::Baseline(baseline) = &mut controller.decision_maker else { return };
        let Some((change, version)) = baseline.next_change(&self.known_endpoints) else { return };
        let publication = Arc::new(Publication::new(change, incarnation, version, now, None));
        controller.channels.iter().flatten().for_each(|(_, channel)| channel.push(publication.clone()));
    }

    /// Gives a baseline policy its load reports and publishes what follows from them.
    fn run_baseline(&mut self) {
        let now = self.event_queue.now;
        let Some(controller) = self.controller.as_mut() else { return };
        let DecisionMaker::Baseline(baseline) = &mut controller.decision_maker else { return };
        baseline
            .on_load_reports(now, controller.load_reports.drain(..).map(|(_, _, load_report)| load_report));
        baseline
            .wake_interval()
            .into_iter()
            .for_each(|delay| self.event_queue.after(delay, ScheduledEvent::ControllerWakes));
        self.publish_baseline_change();
        self.run_controller();
    }

    pub fn wake_controller(&mut self) {
        match self.controller.as_ref().map(|controller| &controller.decision_maker) {
            Some(DecisionMaker::Baseline(_)) => self.run_baseline(),
            _ => self.run_controller(),
        }
    }

    /// Lets the core process its input and carries out its requests.
    pub fn run_controller(&mut self) {
        let now = self.event_queue.now;
        let Some(controller) = self.controller.as_mut() else { return };
        controller.health_batch_pending = false;
        let mut requests = CoreRequests::default();
        if let DecisionMaker::ControllerCore(core) = &mut controller.decision_maker {
            if !core.is_ready() {
                return;
            }
            core.admit_sessions(now);
            if core.take_due_timers(now) {
                for (stream, proxy, load_report) in controller.load_reports.drain(..) {
                    let zone = ZoneId(self.proxies[proxy].zone as u16);
                    core.on_load_report(stream, ProxyId(proxy as u16), zone, &load_report);
                }
                core.flush_load_reports(now);
            }
            core.process(now, || now, &mut requests);
            core.end_stalled_sessions(now, &mut requests);
            if let Some(due) =
                core.next_timer_due().filter(|due| *due < controller.next_wake || controller.next_wake <= now)
            {
                controller.next_wake = due;
                self.event_queue.at(due, ScheduledEvent::ControllerWakes);
            }
        }
        for host in requests.health_checks {
            if let Some(host_index) =
                host.address().and_then(|address| self.host_indexes.get(&address).copied())
            {
                self.event_queue
                    .after(self.timing_model.message_latency, ScheduledEvent::HealthCheckArrives(host_index));
            }
        }
        for (slice, entries) in requests.stored_tables {
            let lines =
                entries.iter().filter_map(|entry| Some((entry.host.address()?, entry.weight))).collect();
            let target = if self.store_unavailable { &mut self.unsaved_tables } else { &mut self.tables };
            target.insert(u32::from(slice.0), lines);
        }
        self.write_pending();
    }

    /// Writes to the channels that have something new.
    fn write_pending(&mut self) {
        let pending = self
            .controller
            .as_ref()
            .map(|controller| std::mem::take(&mut *controller.pending_writes.borrow_mut()));
        pending.into_iter().flatten().for_each(|proxy| self.write_to_channel(proxy));
    }

    /// Writes the deltas that may be sent to a proxy now, at the rate of the shared channel.
    pub fn write_to_channel(&mut self, proxy: ProxyIndex) {
        let now = self.event_queue.now;
        let channel = self.controller.as_ref().and_then(|controller| controller.channels[proxy].clone());
        let Some((stream, channel)) = channel else { return };
        if channel.0.borrow().closed {
            return self.close_stream(proxy);
        }
        loop {
            let action = channel.0.borrow_mut().delta_queue.next_action(now);
            match action {
                WriterAction::Wait => return,
                WriterAction::WaitUntil(until) => {
                    return self.event_queue.at(until, ScheduledEvent::ChannelReady(proxy))
                }
                WriterAction::Write(publication) => {
                    let lines = publication.change.cost() as f64 + self.scenario.limits.message_cost;
                    let duration = lines * self.channel_slowdown / self.scenario.update_lines_per_second;
                    self.channel_free_at = self.channel_free_at.max(now) + duration;
                    let arrival = self.channel_free_at + self.timing_model.message_latency;
                    self.event_queue.at(arrival, ScheduledEvent::DeltaArrives(proxy, stream, publication));
                }
            }
        }
    }

    /// Closes a stream on behalf of the controller.
    fn close_stream(&mut self, proxy: ProxyIndex) {
        if let Some(controller) = self.controller.as_mut() {
            controller.channels[proxy] = None;
        }
        self.on_stream_closed(proxy);
    }

    /// Connects a proxy to the controller; without a controller it waits for the next start.
    pub fn connect_proxy(&mut self, proxy: ProxyIndex) {
        let now = self.event_queue.now;
        let routing = &self.proxies[proxy].routing;
        let (incarnation_held, version) =
            (routing.incarnation, if routing.has_gap { 0 } else { routing.version });
        let zone = self.proxies[proxy].zone;
        let message_quota = MessageQuota {
            max_messages: self.scenario.limits.max_messages,
            window: self.scenario.limits.message_span,
        };
        let Some(controller) = self.controller.as_mut() else {
            self.waiting_proxies.push(proxy);
            return;
        };
        self.last_stream += 1;
        let channel = SimulatedChannel::new(message_quota, proxy, controller.pending_writes.clone());
        let stream = StreamId(self.last_stream);
        controller.channels[proxy] = Some((stream, channel.clone()));
        self.proxies[proxy].stream = Some(stream);
        let process = proxy as u64 + 1;
        let subscribe =
            Subscribe { proxy: proxy as u32, zone, process, incarnation: incarnation_held, version };
        match &mut controller.decision_maker {
            DecisionMaker::ControllerCore(core) => {
                core.on_subscribe(now, stream, subscribe, channel, &mut CoreRequests::default())
            }
            DecisionMaker::Baseline(baseline) => {
                let (snapshot, version) = baseline.snapshot();
                channel.push(Arc::new(Publication::new(
                    snapshot,
                    controller.incarnation,
                    version,
                    now,
                    None,
                )));
            }
        }
        self.record(EventKind::ProxyStream(ProxyStream { proxy: proxy as u32, open: true, controller: 0 }));
        self.run_controller();
    }

    /// Breaks a proxy's stream; the proxy reconnects after a random delay.
    pub fn break_stream(&mut self, proxy: ProxyIndex) {
        let now = self.event_queue.now;
        let Some(stream) = self.proxies[proxy].stream else { return };
        if let Some(controller) = self.controller.as_mut() {
            controller.channels[proxy] = None;
            if let DecisionMaker::ControllerCore(core) = &mut controller.decision_maker {
                core.on_disconnect(
                    now,
                    stream,
                    ProxyId(proxy as u16),
                    "broken",
                    &mut CoreRequests::default(),
                );
            }
        }
        self.on_stream_closed(proxy);
        self.run_controller();
    }

    fn on_stream_closed(&mut self, proxy: ProxyIndex) {
        if self.proxies[proxy].stream.take().is_none() {
            return;
        }
        self.record(EventKind::ProxyStream(ProxyStream { proxy: proxy as u32, open: false, controller: 0 }));
        let reconnect_delay = self.proxies[proxy].random() * self.scenario.max_reconnect_delay;
        self.event_queue.after(reconnect_delay, ScheduledEvent::ProxyConnects(proxy));
    }

    /// Applies a delta at a proxy and sends its acknowledgement.
    pub fn on_delta(&mut self, proxy: ProxyIndex, stream: StreamId, publication: &Publication) {
        if self.proxies[proxy].stream != Some(stream) {
            return;
        }
        let Publication { change, incarnation, version, published_at, .. } = publication;
        let delta = change.to_delta(*incarnation, *version, *published_at);
        self.record(EventKind::DeltaReceived(DeltaReceived {
            proxy: proxy as u32,
            delta: delta.clone(),
            controller: 0,
        }));
        let state = &mut self.proxies[proxy];
        let reject = std::mem::take(&mut state.rejects_next_delta);
        let rejected = reject || state.routing.apply(&delta).is_err();
        state.routing.has_gap |= rejected;
        self.record(EventKind::DeltaAcknowledged(DeltaAcknowledged {
            proxy: proxy as u32,
            nonce: *version,
            rejected,
            ..DeltaAcknowledged::default()
        }));
        self.event_queue.after(
            self.timing_model.message_latency,
            ScheduledEvent::ResponseArrives(proxy, stream, *version, rejected),
        );
    }

    pub fn on_delta_response(&mut self, proxy: ProxyIndex, stream: StreamId, nonce: u64, rejected: bool) {
        let now = self.event_queue.now;
        let response = if rejected { DeltaResponse::Nack } else { DeltaResponse::Ack };
        let Some(controller) = self.controller.as_mut() else { return };
        match &mut controller.decision_maker {
            DecisionMaker::ControllerCore(core) => {
                core.on_delta_response(now, ProxyId(proxy as u16), stream, nonce, response);
                core.admit_sessions(now);
                core.process(now, || now, &mut CoreRequests::default());
            }
            DecisionMaker::Baseline(_) => {
                if let Some((_, channel)) =
                    controller.channels[proxy].as_ref().filter(|channel| channel.0 == stream)
                {
                    channel.on_response(nonce, response);
                }
            }
        }
        self.write_to_channel(proxy);
        self.write_pending();
    }

    pub fn send_load_report(&mut self, proxy: ProxyIndex) {
        let now = self.event_queue.now;
        let load_report = self.proxies[proxy].load_totals.take_report(now);
        let delay = self.scenario.report_delay + self.extra_report_delay;
        self.event_queue.after(delay, ScheduledEvent::LoadReportArrives(proxy, Box::new(load_report)));
        self.event_queue.after(self.scenario.report_interval, ScheduledEvent::LoadReportDue(proxy));
    }

    pub fn on_load_report(&mut self, proxy: ProxyIndex, load_report: Box<LoadReport>) {
        let stream = self.proxies[proxy].stream;
        if let (Some(stream), Some(controller)) = (stream, self.controller.as_mut()) {
            controller.load_reports.push((stream, proxy, load_report));
        }
    }

    /// Decides how a host answers a health check, and after which time.
    pub fn on_health_check(&mut self, host_index: HostIndex) {
        let (now, timeout) = (self.event_queue.now, self.controller_settings.health_check_timeout);
        let host = &self.hosts[host_index];
        let remaining_pause = (host.faults.paused_until - now).max(0.0);
        let duration =
            remaining_pause + self.scenario.health_check_work * host.faults.slowdown / host.config.speed;
        let (outcome, delay) = if !host.alive {
            (HealthCheckOutcome::Unreachable, self.timing_model.message_latency)
        } else if host.faults.hangs || duration > timeout {
            (HealthCheckOutcome::Failed, timeout)
        } else if host.faults.fails {
            (HealthCheckOutcome::Failed, duration)
        } else if host.faults.drains {
            (HealthCheckOutcome::Rejected, duration)
        } else {
            (HealthCheckOutcome::Passed, duration)
        };
        self.event_queue.after(delay, ScheduledEvent::HealthCheckEnds(host_index, outcome));
    }

    pub fn on_health_check_end(&mut self, host_index: HostIndex, outcome: HealthCheckOutcome) {
        let host = HostId::from(self.hosts[host_index].address);
        if let Some(DecisionMaker::ControllerCore(core)) =
            self.controller.as_mut().map(|controller| &mut controller.decision_maker)
        {
            core.on_health_check(HealthCheckResult { host, outcome });
            let controller = self.controller.as_mut().expect("the controller is running");
            if !std::mem::replace(&mut controller.health_batch_pending, true) {
                self.event_queue.after(HEALTH_CHECK_BATCH_SECONDS, ScheduledEvent::ControllerWakes);
            }
        }
    }
}
