//! How a proxy handles a request: admission, choice of a host, attempt, and retry.
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

/// Maximum number of attempts for one request.
const MAX_ATTEMPTS: usize = 2;
/// Seconds between checks for a usable host while an operation waits for one.
const HOST_CHECK_INTERVAL_SECONDS: f64 = 0.005;
/// Minimum remaining time for a retry, as a fraction of the contract time.
const MIN_RETRY_TIME_FRACTION: f64 = 0.1;

impl Proxy {
    /// Handles a request of a client and returns its outcome.
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

    /// Attempts the operation, and retries it if the retry condition allows it.
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

    /// Timeout in seconds for the attempt at the last of `attempted_hosts`; `None` if too little time remains for it.
    /// An attempt that can be retried after a failure gets a shorter timeout, which leaves time for the retry.
    fn attempt_timeout(
        &self,
        operation: &PlannedOperation,
        attempted_hosts: &[SocketAddr],
        deadline: f64,
        retry: RetryCondition,
    ) -> Option<f64> {
        let contract_time = self.environment.classes[operation.class as usize].contract_time;
        let remaining = deadline - now();
        let too_late_for_retry =
            attempted_hosts.len() > 1 && remaining < MIN_RETRY_TIME_FRACTION * contract_time;
        if remaining <= 0.0 || too_late_for_retry {
            return None;
        }
        let retry_can_follow = attempted_hosts.len() < MAX_ATTEMPTS
            && retry == RetryCondition::AfterFailure
            && self.has_other_host(operation, attempted_hosts);
        if retry_can_follow {
            Some(remaining.min(self.config.first_attempt_timeout_fraction * contract_time))
        } else {
            Some(remaining)
        }
    }

    /// Whether there is another usable host.
    fn has_other_host(&self, operation: &PlannedOperation, attempted_hosts: &[SocketAddr]) -> bool {
        let routing = self.routing.lock().expect("no holder panics");
        let mut rng = ChaCha8Rng::seed_from_u64(0);
        routing.pick(operation.slice, attempted_hosts, BalancingPolicy::Weighted, &mut rng, |_| 0).is_some()
    }

    /// Picks a host that has not been attempted. The first attempt waits up to `no_host_timeout` if no host is usable.
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
        let started_at = now();
        let result = self.send_over_link(request, host, number, timeout, started_at);
        let (success_time, utilization) = match result {
            AttemptResult::Completed(utilization) => (Some(now() - started_at), utilization),
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
        started_at: f64,
    ) -> AttemptResult {
        let zone = self.environment.zones.lock().expect("no holder panics").get(&host).copied();
        let link = self.environment.links.condition(self.config.zone, zone.unwrap_or(self.config.zone));
        if link.delay > 0.0 {
            may::coroutine::sleep(seconds(link.delay.min(timeout)));
        }
        let result = if link.loss > 0.0 && self.random() < link.loss {
            may::coroutine::sleep(seconds(timeout - (now() - started_at)));
            AttemptResult::TimedOut
        } else {
            self.send(request, host, number, timeout - (now() - started_at))
        };
        let completed = matches!(result, AttemptResult::Completed(_));
        if link.delay > 0.0 && completed {
            may::coroutine::sleep(seconds(link.delay));
        }
        let late = now() - started_at > timeout;
        if late && completed {
            AttemptResult::TimedOut
        } else {
            result
        }
    }

    /// Sends an operation on the connection to the host and records the attempt just before it is sent.
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

    /// The connection to a host, created on first use.
    fn connection(&self, host: SocketAddr) -> Arc<HostConnection> {
        let mut hosts = self.hosts.lock().expect("no holder panics");
        let (proxy, timeout) = (self.config.number, self.config.connect_timeout);
        hosts.entry(host).or_insert_with(|| Arc::new(HostConnection::new(host, proxy, timeout))).clone()
    }
}
