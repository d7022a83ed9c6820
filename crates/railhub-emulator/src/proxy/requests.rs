//! A proxy's way with a request: admission, pick of a host, attempt, retry.
use super::{Proxy, ProxyOutcome, ProxyRequest};
use crate::host_connection::{AttemptResult, HostConnection};
use crate::operation::PlannedOperation;
use crate::routing::BalancingPolicy;
use railhub_net::{now, seconds};
use railhub_proto::{Operation, RetryCondition};
use railhub_record::{Attempt, AttemptEnd, EventKind};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::sync::Arc;

/// Attempts for one request.
const MAX_ATTEMPTS: usize = 2;
/// Seconds between looks for a usable host while an operation waits for one.
const HOST_CHECK_INTERVAL_SECONDS: f64 = 0.005;
/// Fraction of the contract time that must be left for a retry.
const MIN_RETRY_TIME_FRACTION: f64 = 0.1;

impl Proxy {
    /// Handles one request of a client, from its arrival to its end.
    ///
    /// # Panics
    /// If the operation's class is unknown, or a holder of the proxy's state panicked.
    pub fn handle(&self, request: ProxyRequest) -> ProxyOutcome {
        let operation = &request.operation;
        let deadline = now() + request.timeout;
        self.load.lock().expect("no holder panics").count_operation(operation.slice, operation.class);
        let routing = self.routing.lock().expect("no holder panics");
        let admission = routing.admission(operation.slice, operation.class);
        drop(routing);
        if admission.rate < 1.0 && self.random() >= admission.rate {
            return ProxyOutcome::Rejected;
        }
        self.make_attempts(&request, deadline, admission.retry)
    }

    fn make_attempts(&self, request: &ProxyRequest, deadline: f64, retry: RetryCondition) -> ProxyOutcome {
        let operation = &request.operation;
        let mut attempted_hosts = Vec::new();
        let mut outcome = ProxyOutcome::Rejected;
        while attempted_hosts.len() < MAX_ATTEMPTS {
            let Some(host) = self.pick(operation, &attempted_hosts, deadline) else { return outcome };
            attempted_hosts.push(host);
            let Some(timeout) = self.attempt_timeout(operation, &attempted_hosts, deadline, retry) else {
                return outcome;
            };
            let result = self.attempt(request, host, attempted_hosts.len() as u32, timeout);
            let retries_blindly = self.retries_blindly(operation);
            if matches!(result, AttemptResult::Completed(_)) && !retries_blindly {
                return ProxyOutcome::Completed;
            }
            if !result.not_executed() {
                outcome = ProxyOutcome::Failed;
            }
            let may_retry = match retry {
                RetryCondition::Never => false,
                RetryCondition::IfNotExecuted => result.not_executed(),
                RetryCondition::AfterFailure => true,
            };
            if !may_retry && !retries_blindly {
                return outcome;
            }
        }
        outcome
    }

    /// Seconds for the attempt at the last of the attempted hosts; none if too little time is left for it.
    fn attempt_timeout(
        &self,
        operation: &PlannedOperation,
        attempted_hosts: &[SocketAddr],
        deadline: f64,
        retry: RetryCondition,
    ) -> Option<f64> {
        let contract_time = self.environment.classes[operation.class as usize].contract_time;
        let left = deadline - now();
        let too_late_for_retry = attempted_hosts.len() > 1 && left < MIN_RETRY_TIME_FRACTION * contract_time;
        if left <= 0.0 || too_late_for_retry {
            return None;
        }
        let retry_can_follow = attempted_hosts.len() < MAX_ATTEMPTS
            && retry == RetryCondition::AfterFailure
            && self.has_other_host(operation, attempted_hosts);
        if retry_can_follow {
            Some(left.min(self.config.first_attempt_timeout_fraction * contract_time))
        } else {
            Some(left)
        }
    }

    fn has_other_host(&self, operation: &PlannedOperation, attempted_hosts: &[SocketAddr]) -> bool {
        let routing = self.routing.lock().expect("no holder panics");
        let mut rng = ChaCha8Rng::seed_from_u64(0);
        routing.pick(operation.slice, attempted_hosts, BalancingPolicy::Weighted, &mut rng, |_| 0).is_some()
    }

    /// Picks a host. The first attempt waits a little if there is none.
    fn pick(
        &self,
        operation: &PlannedOperation,
        attempted_hosts: &[SocketAddr],
        deadline: f64,
    ) -> Option<SocketAddr> {
        if let Some(host) = self.sabotaged_host(operation).filter(|host| !attempted_hosts.contains(host)) {
            return Some(host);
        }
        let give_up_at = deadline.min(now() + self.config.no_host_timeout);
        loop {
            let host = self.pick_by_policy(operation.slice, attempted_hosts);
            if host.is_some() || !attempted_hosts.is_empty() || now() >= give_up_at {
                return host;
            }
            may::coroutine::sleep(seconds(HOST_CHECK_INTERVAL_SECONDS));
        }
    }

    fn pick_by_policy(&self, slice: u32, attempted_hosts: &[SocketAddr]) -> Option<SocketAddr> {
        let routing = self.routing.lock().expect("no holder panics");
        let hosts = self.hosts.lock().expect("no holder panics");
        let outstanding = |host| hosts.get(&host).map_or(0, |connection| connection.outstanding());
        let mut rng = self.rng.lock().expect("no holder panics");
        routing.pick(slice, attempted_hosts, self.config.policy, &mut *rng, outstanding)
    }

    /// Makes one attempt and records its end.
    fn attempt(&self, request: &ProxyRequest, host: SocketAddr, number: u32, timeout: f64) -> AttemptResult {
        let began = now();
        let result = self.send_over_link(request, host, number, timeout, began);
        let (success_time, utilization) = match result {
            AttemptResult::Completed(utilization) => (Some(now() - began), utilization),
            _ => (None, None),
        };
        self.load.lock().expect("no holder panics").count_attempt(host, success_time, utilization);
        let end = AttemptEnd {
            operation: request.operation.operation,
            request: request.request,
            number,
            completed: success_time.is_some(),
            not_executed: result.not_executed(),
        };
        self.environment.recorder.record(now(), EventKind::AttemptEnd(end));
        result
    }

    /// Sends an operation with the delay and loss of the link to the host's zone.
    fn send_over_link(
        &self,
        request: &ProxyRequest,
        host: SocketAddr,
        number: u32,
        timeout: f64,
        began: f64,
    ) -> AttemptResult {
        let zone = self.environment.zones.lock().expect("no holder panics").get(&host).copied();
        let link = self.environment.links.condition(self.config.zone, zone.unwrap_or(self.config.zone));
        if link.delay > 0.0 {
            may::coroutine::sleep(seconds(link.delay.min(timeout)));
        }
        let result = if link.loss > 0.0 && self.random() < link.loss {
            may::coroutine::sleep(seconds(timeout - (now() - began)));
            AttemptResult::TimedOut
        } else {
            self.send(request, host, number, timeout - (now() - began))
        };
        let completed = matches!(result, AttemptResult::Completed(_));
        if link.delay > 0.0 && completed {
            may::coroutine::sleep(seconds(link.delay));
        }
        let late = now() - began > timeout;
        if late && completed {
            AttemptResult::TimedOut
        } else {
            result
        }
    }

    fn send(&self, request: &ProxyRequest, host: SocketAddr, number: u32, timeout: f64) -> AttemptResult {
        let connection = self.connection(host);
        let PlannedOperation { operation, class, key, slice, work, .. } = request.operation;
        let message = Operation { attempt_id: 0, operation_id: operation, key, class, slice, work };
        connection.call(message, timeout, || {
            let attempt = Attempt {
                operation,
                request: request.request,
                number,
                proxy: self.config.number,
                host: host.to_string(),
                class,
                slice,
                work,
            };
            self.environment.recorder.record(now(), EventKind::Attempt(attempt));
        })
    }

    fn connection(&self, host: SocketAddr) -> Arc<HostConnection> {
        let mut hosts = self.hosts.lock().expect("no holder panics");
        let (proxy, timeout) = (self.config.number, self.config.connect_timeout);
        hosts.entry(host).or_insert_with(|| Arc::new(HostConnection::new(host, proxy, timeout))).clone()
    }
}
