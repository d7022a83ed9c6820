//! Fixtures shared by the tests of the rules: a controller with four hosts, and a sink that records its commands.
use super::load_report::DEMAND_AVERAGING;
use super::*;
use crate::decaying::{DecayingRate, DecayingSum};
use crate::interface::*;
use crate::update_backlog::UpdateBacklog;
use std::net::SocketAddr;

mod admission;
mod backlog_model;
mod controller;
mod endpoint_list;
mod exclusion;
mod exclusion_model;
mod health_check;
mod health_score;
mod load_estimate;
mod outlier_ejection;
mod placement;
mod publish;
mod retry_policy;
mod single_owner;
mod slow_start;

/// Records the commands that the tests check.
#[derive(Default)]
struct RecordedCommands {
    /// Calls of `set_weight`.
    lines: Vec<(SliceId, HostId, f64)>,
    /// Number of calls of `assign_table`.
    assigned_tables: usize,
    admission: Vec<(ClassId, f64, RetryPolicy)>,
    health_checks: Vec<HostId>,
    barriers: Vec<BarrierId>,
    /// Excluded (true) and readmitted (false) hosts.
    exclusions: Vec<(HostId, bool)>,
}

impl CommandSink for RecordedCommands {
    fn set_weight(&mut self, slice: SliceId, host: HostId, weight: f64) {
        self.lines.push((slice, host, weight));
    }
    fn assign_table(&mut self, _: SliceId, _: ProxyId) {
        self.assigned_tables += 1;
    }
    fn set_admission_rate(&mut self, class: ClassId, rate: f64, retry_policy: RetryPolicy) {
        self.admission.push((class, rate, retry_policy));
    }
    fn exclude_host(&mut self, host: HostId) {
        self.exclusions.push((host, true));
    }
    fn readmit_host(&mut self, host: HostId) {
        self.exclusions.push((host, false));
    }
    fn set_barrier(&mut self, barrier: BarrierId) {
        self.barriers.push(barrier);
    }
    fn check_health(&mut self, host: HostId) {
        self.health_checks.push(host);
    }
    fn set_timer(&mut self, _: Seconds, _: TimerId) {}
    fn report(&mut self, _: DecisionEvent) {}
}

fn host(n: u8) -> HostId {
    HostId::from(SocketAddr::from(([10, 0, 0, n], 80)))
}

fn class(idempotency: Idempotency, priority_weight: f64) -> ClassConfig {
    ClassConfig { contract_time: 1.0, priority_weight, idempotency }
}

fn config() -> ControllerConfig {
    ControllerConfig {
        classes: vec![class(Idempotency::Safe, 1.0), class(Idempotency::Never, 5.0)],
        slice_count: 12,
        single_owner: false,
        write_lease: 4.0,
        max_write_duration: 3.0,
        proxy_count: 0,
        sole_controller: false,
        health_checks_allowed: true,
        delisted_may_serve: true,
        admission_by_fraction: true,
        cold_capacity_fraction: 0.2,
        warm_up_time: 10.0,
        overload_multiple: 2.5,
        backlog_limit: 100_000.0,
        message_overhead: 8.0,
        message_quota: 20,
        message_quota_window: 10.0,
        first_attempt_timeout_multiple: 1.0,
    }
}

fn entry(n: u8, phase: Phase, started_at: Option<Seconds>) -> EndpointEntry {
    EndpointEntry { host: host(n), phase, started_at, weight: 4.0, kind: HostKindId(0) }
}

fn endpoint_update(now: Seconds, entries: Vec<EndpointEntry>) -> EventBatch {
    EventBatch {
        now,
        endpoint_lists: vec![EndpointList { complete: false, entries }],
        ..EventBatch::default()
    }
}

fn tick(now: Seconds) -> EventBatch {
    EventBatch { now, timers: vec![TimerId(0)], ..EventBatch::default() }
}

/// A controller at second 100 with four warm hosts, twelve slices spread evenly, and two proxies.
fn controller(config: ControllerConfig) -> Controller {
    let mut controller = Controller::new(config);
    let entries = (1..=4).map(|n| entry(n, Phase::Ready, None)).collect();
    let mut batch = endpoint_update(100.0, entries);
    batch.assignments = (0..12)
        .map(|k| SliceAssignment::Assigned {
            slice: SliceId(k),
            entries: vec![(host(1 + k as u8 % 4), 1.0).into()],
        })
        .collect();
    batch.proxy_streams = (0..2).map(|k| ProxyStreamEvent::Connected(ProxyId(k))).collect();
    controller.handle_batch(&batch, &mut RecordedCommands::default());
    controller
}

/// Sets the operations per second of each slice and the service time of each host.
fn set_load(controller: &mut Controller, now: Seconds, rate: f64, service_time: Seconds) {
    for slice in controller.slices.values_mut() {
        slice.demand[0] = DecayingRate::default();
        slice.demand[0].add(now, rate, 1.0, DEMAND_AVERAGING);
    }
    for host in controller.hosts.values_mut() {
        (host.service_time.core_time, host.service_time.completed) = (
            DecayingSum { value: service_time * 100.0, updated_at: now },
            DecayingSum { value: 100.0, updated_at: now },
        );
    }
}

/// The number of slices that host `n` owns.
fn owned_slice_count(controller: &Controller, n: u8) -> usize {
    controller.slices.values().filter(|slice| slice.owner == Some(host(n))).count()
}

fn load_report(n: u8, failed: f64) -> HostLoadReport {
    HostLoadReport {
        zone: ZoneId(0),
        host: host(n),
        attempts: 20.0,
        failed,
        mean_latency: 0.1,
        span: 1.0,
        cpu_utilization: None,
    }
}

/// A tick with reports of all hosts, in which half the attempts at host `n` failed.
fn failure_reports(now: Seconds, n: u8) -> EventBatch {
    let host_loads = (1..=4).map(|k| load_report(k, if k == n { 10.0 } else { 0.0 })).collect();
    EventBatch { host_loads, ..tick(now) }
}

fn health_checked(now: Seconds, n: u8, outcome: HealthCheckOutcome) -> EventBatch {
    EventBatch {
        now,
        health_checks: vec![HealthCheckResult { host: host(n), outcome }],
        ..EventBatch::default()
    }
}
