//! The thread that owns the [`PlatformController`]: no other thread accesses it.
//!
//! One pass of the loop: sleep until an event arrives or a deadline; apply the queued events and load reports; let the
//! controller handle a batch if one is due; send the next call if none is in flight; publish the status.
use crate::call_timing::CallTiming;
use crate::clock::now;
use crate::events::{ControllerEvent, LoadReport};
use crate::health_checks::HealthChecker;
use crate::relay::CallSender;
use crate::shared_state::SharedState;
use crate::status::{ControllerStatus, DurationRecorder};
use railhub::{HealthCheckOutcome, Seconds};
use railhub_net::seconds;
use railhub_platform::{Call, CallResponse, EndpointPage, HealthCheck, NodeConfig, PlatformController};
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Maximum sleep of the thread in seconds: load reports do not wake it, and should not wait longer than this.
const MAX_SLEEP: Seconds = 0.2;
/// Maximum number of events applied in one pass, so that a steady stream of events cannot hold up the rest of the pass.
const MAX_EVENTS_PER_PASS: usize = 2048;

/// The state of the thread that owns the controller.
pub struct ControllerThread {
    controller: PlatformController,
    shared: Arc<SharedState>,
    calls: CallSender,
    health_checker: HealthChecker,
    timing: CallTiming,
    timer_lateness: DurationRecorder,
    batches: u64,
    longest_batch: Seconds,
}

impl ControllerThread {
    /// Creates the controller and publishes its first status, so that the discovery watch resumes from the generation
    /// of the known list.
    pub fn new(
        config: &NodeConfig,
        shared: &Arc<SharedState>,
        calls: CallSender,
        health_checker: HealthChecker,
    ) -> ControllerThread {
        let thread = ControllerThread {
            controller: PlatformController::new(config),
            shared: shared.clone(),
            calls,
            health_checker,
            timing: CallTiming::start(now()),
            timer_lateness: DurationRecorder::default(),
            batches: 0,
            longest_batch: 0.0,
        };
        thread.publish_status();
        thread
    }

    /// Runs until the process ends.
    pub fn run(mut self) {
        self.shared.inbox.bind_owner();
        loop {
            self.sleep_until_due();
            self.apply_events();
            self.apply_load_reports();
            self.handle_batch();
            self.send_call();
            self.publish_status();
        }
    }

    fn sleep_until_due(&self) {
        let now = now();
        let mut due = now + MAX_SLEEP;
        if let Some(controller_due) = self.controller.next_deadline() {
            due = due.min(controller_due);
        }
        if self.controller.commands_pending() > 0 && self.timing.call_not_before() > now {
            due = due.min(self.timing.call_not_before());
        }
        if self.shared.inbox.has_no_events() && due > now {
            std::thread::park_timeout(seconds(due - now));
        }
    }

    fn apply_events(&mut self) {
        for _ in 0..MAX_EVENTS_PER_PASS {
            let Some(event) = self.shared.inbox.next_event() else { return };
            self.on_event(event);
        }
    }

    fn on_event(&mut self, event: ControllerEvent) {
        match event {
            ControllerEvent::EndpointPage(page) => self.on_endpoint_page(&page),
            ControllerEvent::SubscriptionRequested(id) => self.controller.on_subscription_requested(id),
            ControllerEvent::RelayEvent(id, event) => self.controller.on_relay_event(now(), id, event),
            ControllerEvent::SubscriptionEnded(id) => self.controller.on_subscription_ended(id),
            ControllerEvent::HealthCheckCompleted(health_check, outcome) => {
                self.on_health_check(&health_check, outcome)
            }
            ControllerEvent::CallCompleted(answer) => self.on_call_completed(answer),
        }
    }

    fn on_endpoint_page(&mut self, page: &EndpointPage) {
        let generation = page.generation;
        if self.controller.on_endpoint_page(now(), page) {
            let (entries, complete) = (page.entries.len(), page.complete);
            tracing::info!(generation, entries, complete, "endpoint list updated");
        } else if generation < self.controller.generation() {
            // The watch of an older configuration sent a newer list first. The next page of the current watch would be
            // a change relative to this page, which was not applied.
            tracing::info!(generation, "stale endpoint page, restarting the discovery watch");
            self.shared.discovery_watch.close();
        }
        self.shared.page_permits.post();
    }

    fn on_health_check(&mut self, health_check: &HealthCheck, outcome: HealthCheckOutcome) {
        tracing::debug!(host = %health_check.host, ?outcome, "health check");
        self.controller.on_health_check_result(health_check, outcome);
    }

    fn on_call_completed(&mut self, answer: Option<CallResponse>) {
        let counters = &self.shared.relay_counters;
        match answer {
            Some(CallResponse::Accepted(_) | CallResponse::Malformed) => self.timing.on_answer(now()),
            Some(CallResponse::Rejected) => {
                counters.calls_rejected.fetch_add(1, Ordering::Relaxed);
                self.timing.on_call_failed(now());
            }
            None => {
                counters.calls_unknown.fetch_add(1, Ordering::Relaxed);
                self.timing.on_call_failed(now());
            }
        }
        if let Some(dropped) = self.controller.on_call_ended(answer) {
            tracing::error!("{dropped}");
        }
    }

    fn apply_load_reports(&mut self) {
        while let Some(report) = self.shared.inbox.next_report() {
            self.timing.on_report();
            match report {
                LoadReport::Host(report) => {
                    tracing::debug!(?report, "host load report");
                    self.controller.on_host_load(report);
                }
                LoadReport::Slice(report) => {
                    tracing::trace!(?report, "slice load report");
                    self.controller.on_slice_load(report);
                }
            }
        }
    }

    fn handle_batch(&mut self) {
        let started_at = now();
        let effects = self.controller.poll(started_at);
        for lateness in effects.timer_lateness {
            self.timer_lateness.record(lateness);
        }
        for health_check in effects.health_checks {
            self.health_checker.submit(health_check);
        }
        for cause in effects.notices {
            tracing::info!(%cause, "decision");
        }
        self.batches += effects.batches;
        self.longest_batch = self.longest_batch.max(now() - started_at);
        if let Some(reason) = self.controller.take_resubscribe_reason() {
            tracing::warn!(%reason, "resubscribing to the relay for a new snapshot");
            self.shared.subscription.close();
        }
    }

    fn send_call(&mut self) {
        if now() < self.timing.call_not_before() {
            return;
        }
        if let Some(call) = self.controller.next_call() {
            self.shared.relay_counters.calls.fetch_add(1, Ordering::Relaxed);
            log_call(&call);
            self.timing.on_call_sent(now());
            self.calls.send(call);
        }
    }

    fn publish_status(&self) {
        let (controller, inbox) = (&self.controller, &self.shared.inbox);
        self.shared.publish_status(ControllerStatus {
            generation: controller.generation(),
            proxies: controller.proxies_joined(),
            hosts: controller.hosts_listed(),
            pending_commands: controller.commands_pending(),
            batches: self.batches,
            snapshot_applied: controller.is_synchronized(),
            reports_dropped: controller.load_reports_dropped()
                + inbox.reports_dropped.load(Ordering::Relaxed),
            health_checks_dropped: self.health_checker.dropped(),
            health_checks_stale: controller.health_checks_stale(),
            commands_coalesced: controller.commands_coalesced(),
            commands_discarded: controller.commands_discarded(),
            unnamed_classes: controller.unnamed_classes(),
            timer_lateness: self.timer_lateness.summary(),
            call_latency: self.timing.call_latency(),
            report_latency: self.timing.report_latency(),
            longest_batch: self.longest_batch,
        });
    }
}

fn log_call(call: &Call) {
    tracing::debug!(id = call.id, commands = call.commands, bytes = call.bytes.len(), "call sent");
    tracing::trace!(id = call.id, line = %String::from_utf8_lossy(&call.bytes).trim_end(), "call");
}
