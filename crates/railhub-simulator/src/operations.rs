//! The way of an operation: client and proxy, step by step.
use crate::events::{Due, HostAt, Job};
use crate::hosts::Taken;
use crate::world::World;
use railhub_emulator::routing::{Admission, BalancingPolicy};
use railhub_emulator::AttemptResult;
use railhub_emulator::PlannedOperation;
use railhub_proto::RetryCondition;
use railhub_record::{Attempt, AttemptEnd, Effect, EventKind, OperationEnd, OperationIdempotency, Outcome};
use rand::RngExt;
use std::net::SocketAddr;

/// As the stand-ins: seconds between looks for a table, and share of the contract time left for a further try.
const TABLE_LOOK: f64 = 0.005;
const LITTLE_TIME: f64 = 0.1;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OpId(pub usize);

#[derive(Clone, Copy, PartialEq, Eq)]
enum ComingEnd {
    Completed,
    Refused,
    Failed,
}

/// An operation under way.
pub struct Op {
    drawn: PlannedOperation,
    proxy: usize,
    began: f64,
    comings: u32,
    /// When this coming is given up, and when it stops looking for a host.
    until: f64,
    looks_until: f64,
    again: RetryCondition,
    tried: Vec<SocketAddr>,
    end: ComingEnd,
    /// The try that is out: its number among all, where, since when, how long it is waited for.
    attempt: u64,
    host: Option<HostAt>,
    called_at: f64,
    wait: f64,
    delay: f64,
}

impl World<'_> {
    pub fn comes(&mut self, arrival: usize) {
        let arrival = self.arrivals[arrival];
        let op = Op {
            drawn: arrival.drawn,
            proxy: arrival.proxy,
            began: self.agenda.now,
            comings: 0,
            until: 0.0,
            looks_until: 0.0,
            again: RetryCondition::Never,
            tried: Vec::new(),
            end: ComingEnd::Refused,
            attempt: 0,
            host: None,
            called_at: 0.0,
            wait: 0.0,
            delay: 0.0,
        };
        self.ops.push(Some(op));
        self.comes_again(OpId(self.ops.len() - 1));
    }

    fn op(&mut self, id: OpId) -> &mut Op {
        self.ops[id.0].as_mut().expect("an operation under way")
    }

    pub fn comes_again(&mut self, id: OpId) {
        let (now, clients, hold) = (self.agenda.now, self.day.clients, self.day.no_host_timeout);
        let op = self.ops[id.0].as_mut().expect("an operation under way");
        let class = &self.classes[op.drawn.class as usize];
        let more =
            op.comings <= clients.max_retries || op.drawn.returns && op.comings <= clients.max_retries + 1;
        let patience = class.hard_stop * clients.request_timeout_fraction.min(op.drawn.patience);
        let left = (op.began + class.hard_stop - now).min(patience);
        if !more || left <= 0.0 {
            return self.ends(id);
        }
        op.comings += 1;
        op.until = now + left;
        op.looks_until = op.until.min(now + hold);
        op.tried.clear();
        op.end = ComingEnd::Refused;
        let (proxy, drawn) = (op.proxy, op.drawn);
        let proxy = &mut self.proxies[proxy];
        proxy.totals.count_operation(drawn.slice, drawn.class);
        let Admission { rate: share, retry: again } = proxy.held.admission(drawn.class);
        let refused = share < 1.0 && proxy.chance.random::<f64>() >= share;
        self.op(id).again = again;
        if refused {
            self.coming_ends(id);
        } else {
            self.looks(id);
        }
    }

    /// Looks for a host, and calls it.
    pub fn looks(&mut self, id: OpId) {
        let now = self.agenda.now;
        let op = self.ops[id.0].as_mut().expect("an operation under way");
        let class = &self.classes[op.drawn.class as usize];
        let proxy = &mut self.proxies[op.proxy];
        let out = &proxy.out;
        let work = |host: SocketAddr| out.get(&host).copied().unwrap_or(0);
        let found =
            proxy.held.pick(op.drawn.slice, &op.tried, self.day.balancing_policy, &mut proxy.chance, work);
        let Some(host) = found else {
            if op.tried.is_empty() && now < op.looks_until {
                return self.agenda.after(TABLE_LOOK, Due::Looks(id));
            }
            return self.coming_ends(id);
        };
        op.tried.push(host);
        let left = op.until - now;
        if left <= 0.0 || op.tried.len() > 1 && left < LITTLE_TIME * class.contract_time {
            return self.coming_ends(id);
        }
        let mut chance = proxy.chance.clone();
        let may_follow = op.tried.len() < 2 && op.again == RetryCondition::AfterFailure && {
            proxy
                .held
                .pick(op.drawn.slice, &op.tried, BalancingPolicy::Weighted, &mut chance, |_| 0)
                .is_some()
        };
        op.wait = if may_follow {
            left.min(self.day.first_attempt_timeout_fraction * class.contract_time)
        } else {
            left
        };
        *proxy.out.entry(host).or_default() += 1;
        self.last_attempt += 1;
        op.attempt = self.last_attempt;
        op.called_at = now;
        op.host = self.places.get(&host).copied();
        let (attempt, wait, at, host) = (op.attempt, op.wait, op.proxy, op.host);
        let here = proxy.zone;
        let there = host.map_or(here, |place| self.hosts[place].facts.zone);
        let (delay, lost) = self.between(here, there);
        let is_lost = lost > 0.0 && self.proxies[at].random() < lost;
        self.op(id).delay = delay;
        self.agenda.after(wait, Due::WaitEnds(id, attempt));
        if !is_lost {
            self.sent(id, delay.min(wait));
            self.agenda.after(delay.min(wait) + self.physics.message_latency, Due::Reaches(id, attempt));
        }
    }

    /// A try leaves, if there is a process to connect to; `later`: when it has passed a slow link.
    fn sent(&mut self, id: OpId, later: f64) {
        let Some(op) = self.ops[id.0].as_ref() else { return };
        let Some(host) = op.host.map(|place| &self.hosts[place]).filter(|host| host.alive) else { return };
        let drawn = op.drawn;
        let tried = Attempt {
            operation: drawn.operation,
            request: op.comings,
            number: op.tried.len() as u32,
            proxy: op.proxy as u32,
            host: host.address.to_string(),
            class: drawn.class,
            slice: drawn.slice,
            work: drawn.work,
        };
        self.note_at(self.agenda.now + later, EventKind::Attempt(tried));
    }

    /// The try is at its host.
    pub fn reaches(&mut self, id: OpId, attempt: u64) {
        let now = self.agenda.now;
        let Some(op) = self.ops[id.0].as_ref().filter(|op| op.attempt == attempt) else { return };
        let Some(place) = op.host else {
            return self
                .agenda
                .after(self.physics.message_latency, Due::Answered(id, attempt, AttemptResult::Unreachable));
        };
        let job = Job { op: id, attempt, came: now };
        let taken = self.hosts[place].take(now, job);
        match taken {
            Taken::Begins => self.begins(place, self.hosts[place].life, job),
            Taken::Waits => {}
            Taken::Full => self.agenda.after(self.physics.message_latency, crate::hosts::refused(job)),
            Taken::Dead => {
                self.agenda.after(
                    self.physics.message_latency,
                    Due::Answered(id, attempt, AttemptResult::Unreachable),
                );
            }
        }
    }

    pub fn begins(&mut self, place: HostAt, life: u64, job: Job) {
        let now = self.agenda.now;
        if self.hosts[place].life != life {
            return;
        }
        if self.hosts[place].stands_still(now) {
            return crate::hosts::later(&mut self.agenda, place, life, job, None);
        }
        let drawn = self.drawn(job.op);
        let class = &self.classes[drawn.class as usize];
        let repeat = self.repeated.is_duplicate(class, self.hosts[place].facts.zone, drawn.operation, now);
        let took = self.hosts[place].work_time(now, drawn.work, drawn.key);
        let none = repeat || self.hosts[place].ailments.fails;
        let took = if none { 0.0 } else { took + self.physics.completion_delay };
        self.agenda.after(took, Due::Done(place, life, job, repeat));
    }

    /// An operation stays known after its end: hosts may still work on it.
    fn drawn(&self, id: OpId) -> PlannedOperation {
        self.arrivals[id.0].drawn
    }

    pub fn done(&mut self, place: HostAt, life: u64, job: Job, repeat: bool) {
        let now = self.agenda.now;
        if self.hosts[place].life != life {
            return;
        }
        if self.hosts[place].stands_still(now) {
            return crate::hosts::later(&mut self.agenda, place, life, job, Some(repeat));
        }
        let drawn = self.drawn(job.op);
        let fails = self.hosts[place].ailments.fails;
        if !fails {
            let effect = Effect {
                operation: drawn.operation,
                host: self.hosts[place].address.to_string(),
                class: drawn.class,
                slice: drawn.slice,
                began: job.came,
                dropped: repeat,
            };
            self.note(EventKind::Effect(effect));
        }
        let (lost, busy) = self.hosts[place].answers(now);
        if !lost {
            let end = if fails { AttemptResult::Failed } else { AttemptResult::Completed(busy) };
            self.agenda.after(self.physics.message_latency, Due::Answered(job.op, job.attempt, end));
        }
        if let Some(next) = self.hosts[place].next_job(now) {
            self.begins(place, life, next);
        }
    }

    pub fn wait_ends(&mut self, id: OpId, attempt: u64) {
        let Some(op) = self.ops[id.0].as_ref().filter(|op| op.attempt == attempt) else { return };
        if let Some(place) = op.host {
            self.hosts[place].cancel(attempt);
        }
        self.call_ends(id, AttemptResult::TimedOut);
    }

    pub fn answered(&mut self, id: OpId, attempt: u64, end: AttemptResult) {
        let now = self.agenda.now;
        let Some(op) = self.ops[id.0].as_mut().filter(|op| op.attempt == attempt) else { return };
        let delay = std::mem::take(&mut op.delay);
        if delay > 0.0 && matches!(end, AttemptResult::Completed(_)) {
            // The way back is as slow; the wait may end first.
            return self.agenda.at(now + delay, Due::Answered(id, attempt, end));
        }
        self.call_ends(id, end);
    }

    fn call_ends(&mut self, id: OpId, end: AttemptResult) {
        let now = self.agenda.now;
        let op = self.ops[id.0].as_mut().expect("an operation under way");
        op.attempt = 0;
        let host = *op.tried.last().expect("a host was called");
        let proxy = &mut self.proxies[op.proxy];
        if let Some(out) = proxy.out.get_mut(&host) {
            *out = out.saturating_sub(1);
        }
        let (time, busy) = match end {
            AttemptResult::Completed(busy) => (Some(now - op.called_at), busy),
            _ => (None, None),
        };
        proxy.totals.count_attempt(host, time, busy);
        let ended = AttemptEnd {
            operation: op.drawn.operation,
            request: op.comings,
            number: op.tried.len() as u32,
            completed: time.is_some(),
            not_executed: end.not_executed(),
        };
        if time.is_some() {
            op.end = ComingEnd::Completed;
        } else if !end.not_executed() {
            op.end = ComingEnd::Failed;
        }
        let goes_on = match op.again {
            RetryCondition::Never => false,
            RetryCondition::IfNotExecuted => end.not_executed(),
            RetryCondition::AfterFailure => true,
        };
        let more = time.is_none() && goes_on && op.tried.len() < 2;
        self.note(EventKind::AttemptEnd(ended));
        if more {
            self.looks(id);
        } else {
            self.coming_ends(id);
        }
    }

    fn coming_ends(&mut self, id: OpId) {
        let now = self.agenda.now;
        let pause = self.day.clients.retry_backoff;
        let op = self.ops[id.0].as_ref().expect("an operation under way");
        let class = &self.classes[op.drawn.class as usize];
        let may_repeat = match class.idempotency {
            OperationIdempotency::Safe => true,
            OperationIdempotency::IdempotencyKeyGlobal => now - op.began <= class.key_window,
            OperationIdempotency::IdempotencyKeyLocal | OperationIdempotency::Never => false,
        };
        if op.end == ComingEnd::Completed || op.end == ComingEnd::Failed && !may_repeat {
            return self.ends(id);
        }
        let comings = f64::from(op.comings);
        self.agenda.after(pause * comings, Due::ComesAgain(id));
    }

    fn ends(&mut self, id: OpId) {
        let op = self.ops[id.0].take().expect("an operation under way");
        let now = self.agenda.now;
        let class = &self.classes[op.drawn.class as usize];
        let outcome = match op.end {
            _ if op.comings == 0 => Outcome::GaveUp,
            ComingEnd::Completed if now - op.began <= class.contract_time => Outcome::Completed,
            ComingEnd::Completed => Outcome::Late,
            ComingEnd::Refused => Outcome::Refused,
            ComingEnd::Failed => Outcome::Failed,
        };
        let end = OperationEnd {
            operation: op.drawn.operation,
            class: op.drawn.class,
            slice: op.drawn.slice,
            zone: self.proxies[op.proxy].zone,
            began: op.began,
            outcome: outcome.into(),
            requests: op.comings,
            key: op.drawn.key,
            work: op.drawn.work,
            proxy: op.proxy as u32,
        };
        self.under_way -= 1;
        self.note(EventKind::OperationEnd(end));
    }

    /// The process at a host ended: what the proxies had out there breaks, once they see it.
    pub fn breaks_at(&mut self, place: HostAt) {
        let message_latency = self.physics.message_latency;
        let broken: Vec<(usize, u64)> = (self.ops.iter().enumerate())
            .filter_map(|(n, op)| Some((n, op.as_ref()?)))
            .filter(|(_, op)| op.host == Some(place) && op.attempt > 0)
            .map(|(n, op)| (n, op.attempt))
            .collect();
        for (n, attempt) in broken {
            self.agenda.after(message_latency, Due::Answered(OpId(n), attempt, AttemptResult::Failed));
        }
    }
}
