//! The steps of an operation at the client, the proxy and the host.
use crate::events::{HostIndex, Job, ScheduledEvent};
use crate::hosts::HostAdmission;
use crate::simulation::Simulation;
use railhub_emulator::routing::{Admission, BalancingPolicy};
use railhub_emulator::AttemptResult;
use railhub_emulator::PlannedOperation;
use railhub_proto::RetryCondition;
use railhub_record::{Attempt, AttemptEnd, Effect, EventKind, OperationEnd, OperationIdempotency, Outcome};
use rand::RngExt;
use std::net::SocketAddr;

/// Time until a proxy without a usable host looks for one again; the same as in the emulator.
const TABLE_POLL_INTERVAL_SECONDS: f64 = 0.005;
/// Fraction of the contract time that must be left for a retry; the same as in the emulator.
const MIN_RETRY_TIME_FRACTION: f64 = 0.1;

/// Index of an operation in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OperationId(pub usize);

#[derive(Clone, Copy, PartialEq, Eq)]
enum RequestOutcome {
    Completed,
    Refused,
    Failed,
}

/// An operation that has not ended.
pub struct OperationState {
    planned: PlannedOperation,
    proxy: usize,
    began: f64,
    /// Requests that the client has sent for it, including the current one.
    requests: u32,
    /// When the client gives up the current request.
    deadline: f64,
    /// When the current request stops waiting for a host.
    host_wait_deadline: f64,
    retry_condition: RetryCondition,
    tried_hosts: Vec<SocketAddr>,
    outcome: RequestOutcome,
    /// Number of the current attempt among all attempts of the run; 0 if there is none.
    attempt: u64,
    host: Option<HostIndex>,
    attempt_started_at: f64,
    attempt_timeout: f64,
    link_delay: f64,
}

impl Simulation<'_> {
    pub fn on_operation_arrival(&mut self, arrival: usize) {
        let arrival = self.arrivals[arrival];
        let operation = OperationState {
            planned: arrival.drawn,
            proxy: arrival.proxy,
            began: self.event_queue.now,
            requests: 0,
            deadline: 0.0,
            host_wait_deadline: 0.0,
            retry_condition: RetryCondition::Never,
            tried_hosts: Vec::new(),
            outcome: RequestOutcome::Refused,
            attempt: 0,
            host: None,
            attempt_started_at: 0.0,
            attempt_timeout: 0.0,
            link_delay: 0.0,
        };
        self.operations.push(Some(operation));
        self.start_request(OperationId(self.operations.len() - 1));
    }

    fn operation(&mut self, id: OperationId) -> &mut OperationState {
        self.operations[id.0].as_mut().expect("the operation has not ended")
    }

    /// Sends the client's next request, or ends the operation if no request or time is left.
    pub fn start_request(&mut self, id: OperationId) {
        let (now, clients, no_host_timeout) =
            (self.event_queue.now, self.scenario.clients, self.scenario.no_host_timeout);
        let operation = self.operations[id.0].as_mut().expect("the operation has not ended");
        let class = &self.classes[operation.planned.class as usize];
        let may_request = operation.requests <= clients.max_retries
            || operation.planned.extra_retry && operation.requests <= clients.max_retries + 1;
        let request_timeout = class.hard_stop
            * clients.request_timeout_fraction.min(operation.planned.max_request_timeout_fraction);
        let left = (operation.began + class.hard_stop - now).min(request_timeout);
        if !may_request || left <= 0.0 {
            return self.end_operation(id);
        }
        operation.requests += 1;
        operation.deadline = now + left;
        operation.host_wait_deadline = operation.deadline.min(now + no_host_timeout);
        operation.tried_hosts.clear();
        operation.outcome = RequestOutcome::Refused;
        let (proxy, planned) = (operation.proxy, operation.planned);
        let proxy = &mut self.proxies[proxy];
        proxy.load_totals.count_operation(planned.slice, planned.class);
        let Admission { rate, retry: retry_condition } = proxy.routing.admission(planned.class);
        let refused = rate < 1.0 && proxy.rng.random::<f64>() >= rate;
        self.operation(id).retry_condition = retry_condition;
        if refused {
            self.end_request(id);
        } else {
            self.select_host(id);
        }
    }

    /// Selects a host and sends an attempt to it.
    pub fn select_host(&mut self, id: OperationId) {
        let now = self.event_queue.now;
        let operation = self.operations[id.0].as_mut().expect("the operation has not ended");
        let class = &self.classes[operation.planned.class as usize];
        let proxy = &mut self.proxies[operation.proxy];
        let outstanding = &proxy.outstanding;
        let outstanding_at = |host: SocketAddr| outstanding.get(&host).copied().unwrap_or(0);
        let selected = proxy.routing.pick(
            operation.planned.slice,
            &operation.tried_hosts,
            self.scenario.balancing_policy,
            &mut proxy.rng,
            outstanding_at,
        );
        let Some(host) = selected else {
            if operation.tried_hosts.is_empty() && now < operation.host_wait_deadline {
                return self
                    .event_queue
                    .after(TABLE_POLL_INTERVAL_SECONDS, ScheduledEvent::HostSelection(id));
            }
            return self.end_request(id);
        };
        operation.tried_hosts.push(host);
        let left = operation.deadline - now;
        if left <= 0.0
            || operation.tried_hosts.len() > 1 && left < MIN_RETRY_TIME_FRACTION * class.contract_time
        {
            return self.end_request(id);
        }
        let mut rng = proxy.rng.clone();
        let retry_possible =
            operation.tried_hosts.len() < 2 && operation.retry_condition == RetryCondition::AfterFailure && {
                proxy
                    .routing
                    .pick(
                        operation.planned.slice,
                        &operation.tried_hosts,
                        BalancingPolicy::Weighted,
                        &mut rng,
                        |_| 0,
                    )
                    .is_some()
            };
        operation.attempt_timeout = if retry_possible {
            left.min(self.scenario.first_attempt_timeout_fraction * class.contract_time)
        } else {
            left
        };
        *proxy.outstanding.entry(host).or_default() += 1;
        self.last_attempt += 1;
        operation.attempt = self.last_attempt;
        operation.attempt_started_at = now;
        operation.host = self.host_indexes.get(&host).copied();
        let (attempt, attempt_timeout, proxy_index, host) =
            (operation.attempt, operation.attempt_timeout, operation.proxy, operation.host);
        let proxy_zone = proxy.zone;
        let host_zone = host.map_or(proxy_zone, |host_index| self.hosts[host_index].config.zone);
        let (link_delay, loss_fraction) = self.link_impairment(proxy_zone, host_zone);
        let is_lost = loss_fraction > 0.0 && self.proxies[proxy_index].random() < loss_fraction;
        self.operation(id).link_delay = link_delay;
        self.event_queue.after(attempt_timeout, ScheduledEvent::AttemptTimesOut(id, attempt));
        if !is_lost {
            self.record_attempt(id, link_delay.min(attempt_timeout));
            self.event_queue.after(
                link_delay.min(attempt_timeout) + self.timing_model.message_latency,
                ScheduledEvent::AttemptArrives(id, attempt),
            );
        }
    }

    /// Records an attempt if there is a process to connect to, at the time it has passed a slow link.
    fn record_attempt(&mut self, id: OperationId, delay_on_link: f64) {
        let Some(operation) = self.operations[id.0].as_ref() else { return };
        let Some(host) = operation.host.map(|host_index| &self.hosts[host_index]).filter(|host| host.alive)
        else {
            return;
        };
        let planned = operation.planned;
        let attempt = Attempt {
            operation: planned.operation,
            request: operation.requests,
            number: operation.tried_hosts.len() as u32,
            proxy: operation.proxy as u32,
            host: host.address.to_string(),
            class: planned.class,
            slice: planned.slice,
            work: planned.work,
        };
        self.record_at(self.event_queue.now + delay_on_link, EventKind::Attempt(attempt));
    }

    /// Hands an attempt to its host; no such host, or a stopped one, is unreachable.
    pub fn on_attempt_arrival(&mut self, id: OperationId, attempt: u64) {
        let now = self.event_queue.now;
        let Some(operation) = self.operations[id.0].as_ref().filter(|operation| operation.attempt == attempt)
        else {
            return;
        };
        let Some(host_index) = operation.host else {
            return self.event_queue.after(
                self.timing_model.message_latency,
                ScheduledEvent::AttemptEnds(id, attempt, AttemptResult::Unreachable),
            );
        };
        let job = Job { operation: id, attempt, arrived_at: now };
        let admission = self.hosts[host_index].admit(now, job);
        match admission {
            HostAdmission::Started => self.start_work(host_index, self.hosts[host_index].generation, job),
            HostAdmission::Queued => {}
            HostAdmission::QueueFull => {
                self.event_queue.after(self.timing_model.message_latency, crate::hosts::rejection_event(job))
            }
            HostAdmission::HostDown => {
                self.event_queue.after(
                    self.timing_model.message_latency,
                    ScheduledEvent::AttemptEnds(id, attempt, AttemptResult::Unreachable),
                );
            }
        }
    }

    pub fn start_work(&mut self, host_index: HostIndex, generation: u64, job: Job) {
        let now = self.event_queue.now;
        if self.hosts[host_index].generation != generation {
            return;
        }
        if self.hosts[host_index].is_paused(now) {
            return crate::hosts::postpone(&mut self.event_queue, host_index, generation, job, None);
        }
        let planned = self.planned(job.operation);
        let class = &self.classes[planned.class as usize];
        let is_duplicate = self.seen_operations.is_duplicate(
            class,
            self.hosts[host_index].config.zone,
            planned.operation,
            now,
        );
        let duration = self.hosts[host_index].processing_time(now, planned.work, planned.key);
        let skips_work = is_duplicate || self.hosts[host_index].faults.fails;
        let duration = if skips_work { 0.0 } else { duration + self.timing_model.completion_delay };
        self.event_queue.after(duration, ScheduledEvent::WorkEnds(host_index, generation, job, is_duplicate));
    }

    /// The operation as drawn. It stays available after the operation's end, since hosts may still process it.
    fn planned(&self, id: OperationId) -> PlannedOperation {
        self.arrivals[id.0].drawn
    }

    pub fn end_work(&mut self, host_index: HostIndex, generation: u64, job: Job, is_duplicate: bool) {
        let now = self.event_queue.now;
        if self.hosts[host_index].generation != generation {
            return;
        }
        if self.hosts[host_index].is_paused(now) {
            return crate::hosts::postpone(
                &mut self.event_queue,
                host_index,
                generation,
                job,
                Some(is_duplicate),
            );
        }
        let planned = self.planned(job.operation);
        let fails = self.hosts[host_index].faults.fails;
        if !fails {
            let effect = Effect {
                operation: planned.operation,
                host: self.hosts[host_index].address.to_string(),
                class: planned.class,
                slice: planned.slice,
                began: job.arrived_at,
                dropped: is_duplicate,
            };
            self.record(EventKind::Effect(effect));
        }
        let (lost, utilization) = self.hosts[host_index].finish_response(now);
        if !lost {
            let result = if fails { AttemptResult::Failed } else { AttemptResult::Completed(utilization) };
            self.event_queue.after(
                self.timing_model.message_latency,
                ScheduledEvent::AttemptEnds(job.operation, job.attempt, result),
            );
        }
        if let Some(next) = self.hosts[host_index].next_job(now) {
            self.start_work(host_index, generation, next);
        }
    }

    pub fn on_attempt_timeout(&mut self, id: OperationId, attempt: u64) {
        let Some(operation) = self.operations[id.0].as_ref().filter(|operation| operation.attempt == attempt)
        else {
            return;
        };
        if let Some(host_index) = operation.host {
            self.hosts[host_index].cancel(attempt);
        }
        self.end_attempt(id, AttemptResult::TimedOut);
    }

    pub fn on_attempt_end(&mut self, id: OperationId, attempt: u64, result: AttemptResult) {
        let now = self.event_queue.now;
        let Some(operation) = self.operations[id.0].as_mut().filter(|operation| operation.attempt == attempt)
        else {
            return;
        };
        let link_delay = std::mem::take(&mut operation.link_delay);
        if link_delay > 0.0 && matches!(result, AttemptResult::Completed(_)) {
            // The response takes the same link delay; the attempt may time out first.
            return self.event_queue.at(now + link_delay, ScheduledEvent::AttemptEnds(id, attempt, result));
        }
        self.end_attempt(id, result);
    }

    /// Counts the end of an attempt, then retries it or ends the request.
    fn end_attempt(&mut self, id: OperationId, result: AttemptResult) {
        let now = self.event_queue.now;
        let operation = self.operations[id.0].as_mut().expect("the operation has not ended");
        operation.attempt = 0;
        let host = *operation.tried_hosts.last().expect("an attempt has a host");
        let proxy = &mut self.proxies[operation.proxy];
        if let Some(outstanding) = proxy.outstanding.get_mut(&host) {
            *outstanding = outstanding.saturating_sub(1);
        }
        let (latency, utilization) = match result {
            AttemptResult::Completed(utilization) => (Some(now - operation.attempt_started_at), utilization),
            _ => (None, None),
        };
        proxy.load_totals.count_attempt(host, latency, utilization);
        let attempt_end = AttemptEnd {
            operation: operation.planned.operation,
            request: operation.requests,
            number: operation.tried_hosts.len() as u32,
            completed: latency.is_some(),
            not_executed: result.not_executed(),
        };
        if latency.is_some() {
            operation.outcome = RequestOutcome::Completed;
        } else if !result.not_executed() {
            operation.outcome = RequestOutcome::Failed;
        }
        let retry_allowed = match operation.retry_condition {
            RetryCondition::Never => false,
            RetryCondition::IfNotExecuted => result.not_executed(),
            RetryCondition::AfterFailure => true,
        };
        let retries = latency.is_none() && retry_allowed && operation.tried_hosts.len() < 2;
        self.record(EventKind::AttemptEnd(attempt_end));
        if retries {
            self.select_host(id);
        } else {
            self.end_request(id);
        }
    }

    /// Ends the operation, or schedules the client's next request.
    fn end_request(&mut self, id: OperationId) {
        let now = self.event_queue.now;
        let backoff = self.scenario.clients.retry_backoff;
        let operation = self.operations[id.0].as_ref().expect("the operation has not ended");
        let class = &self.classes[operation.planned.class as usize];
        let is_idempotent = match class.idempotency {
            OperationIdempotency::Safe => true,
            OperationIdempotency::IdempotencyKeyGlobal => now - operation.began <= class.key_window,
            OperationIdempotency::IdempotencyKeyLocal | OperationIdempotency::Never => false,
        };
        if operation.outcome == RequestOutcome::Completed
            || operation.outcome == RequestOutcome::Failed && !is_idempotent
        {
            return self.end_operation(id);
        }
        let requests = f64::from(operation.requests);
        self.event_queue.after(backoff * requests, ScheduledEvent::RequestStarts(id));
    }

    fn end_operation(&mut self, id: OperationId) {
        let operation = self.operations[id.0].take().expect("the operation has not ended");
        let now = self.event_queue.now;
        let class = &self.classes[operation.planned.class as usize];
        let outcome = match operation.outcome {
            _ if operation.requests == 0 => Outcome::GaveUp,
            RequestOutcome::Completed if now - operation.began <= class.contract_time => Outcome::Completed,
            RequestOutcome::Completed => Outcome::Late,
            RequestOutcome::Refused => Outcome::Refused,
            RequestOutcome::Failed => Outcome::Failed,
        };
        let end = OperationEnd {
            operation: operation.planned.operation,
            class: operation.planned.class,
            slice: operation.planned.slice,
            zone: self.proxies[operation.proxy].zone,
            began: operation.began,
            outcome: outcome.into(),
            requests: operation.requests,
            key: operation.planned.key,
            work: operation.planned.work,
            proxy: operation.proxy as u32,
        };
        self.unfinished_operations -= 1;
        self.record(EventKind::OperationEnd(end));
    }

    /// Fails the outstanding attempts at a host whose process has stopped, once their proxies notice.
    pub fn fail_attempts_at(&mut self, host_index: HostIndex) {
        let message_latency = self.timing_model.message_latency;
        let attempts: Vec<(usize, u64)> = (self.operations.iter().enumerate())
            .filter_map(|(n, operation)| Some((n, operation.as_ref()?)))
            .filter(|(_, operation)| operation.host == Some(host_index) && operation.attempt > 0)
            .map(|(n, operation)| (n, operation.attempt))
            .collect();
        for (n, attempt) in attempts {
            self.event_queue.after(
                message_latency,
                ScheduledEvent::AttemptEnds(OperationId(n), attempt, AttemptResult::Failed),
            );
        }
    }
}
