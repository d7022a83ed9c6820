//! Hosts of the model: cores, a queue, a cold start, kept keys, and what ails them.
use crate::events::{Agenda, Due, HostAt, Job};
use railhub_emulator::host::{HostConfig, HostFaults, UtilizationMeter};
use railhub_emulator::AttemptResult;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Seconds between looks while a host stands still, as the stand-ins look.
const STILL_LOOK: f64 = 0.01;

pub struct Host {
    pub address: SocketAddr,
    pub facts: HostConfig,
    pub alive: bool,
    /// Counts starts and ends: what an earlier process had in hand is lost.
    pub life: u64,
    pub started: Option<f64>,
    pub since: f64,
    pub cold: bool,
    pub weight: f64,
    pub is_ghost: bool,
    pub leaves: bool,
    pub ailments: HostFaults,
    running: usize,
    queue: VecDeque<Job>,
    cancelled: BTreeSet<u64>,
    kept: BTreeMap<u64, f64>,
    answered: u64,
    meter: UtilizationMeter,
}

/// What became of a try that reached a host.
pub enum Taken {
    Begins,
    Waits,
    Full,
    Dead,
}

impl Host {
    pub fn new(address: SocketAddr, facts: HostConfig) -> Host {
        let weight = facts.cores as f64;
        Host {
            address,
            facts,
            alive: false,
            life: 0,
            started: None,
            since: 0.0,
            cold: false,
            weight,
            is_ghost: false,
            leaves: false,
            ailments: HostFaults::default(),
            running: 0,
            queue: VecDeque::new(),
            cancelled: BTreeSet::new(),
            kept: BTreeMap::new(),
            answered: 0,
            meter: UtilizationMeter::default(),
        }
    }

    pub fn start(&mut self, now: f64, cold: bool) {
        self.alive = true;
        self.life += 1;
        (self.since, self.cold) = (now, cold);
        self.started = cold.then_some(now);
        self.ailments = HostFaults::default();
        self.forget(now);
    }

    /// All that it had in hand is lost; the tries that were.
    pub fn die(&mut self, now: f64) -> bool {
        let was_alive = std::mem::replace(&mut self.alive, false);
        self.life += 1;
        self.forget(now);
        was_alive
    }

    fn forget(&mut self, now: f64) {
        self.running = 0;
        self.queue.clear();
        self.cancelled.clear();
        self.kept.clear();
        self.meter = UtilizationMeter::new(now);
    }

    pub fn take(&mut self, now: f64, job: Job) -> Taken {
        if !self.alive {
            Taken::Dead
        } else if self.running < self.facts.cores {
            self.meter.count(self.running, now);
            self.running += 1;
            Taken::Begins
        } else if self.queue.len() < self.facts.max_queued {
            self.queue.push_back(job);
            Taken::Waits
        } else {
            Taken::Full
        }
    }

    /// A try that is no longer waited for is dropped if it has not begun.
    pub fn cancel(&mut self, attempt: u64) {
        if self.queue.iter().any(|job| job.attempt == attempt) {
            self.cancelled.insert(attempt);
        }
    }

    /// A core is free: the next job, or none.
    pub fn next_job(&mut self, now: f64) -> Option<Job> {
        while let Some(job) = self.queue.pop_front() {
            if !self.cancelled.remove(&job.attempt) {
                return Some(job);
            }
        }
        self.meter.count(self.running, now);
        self.running = self.running.saturating_sub(1);
        None
    }

    pub fn stands_still(&self, now: f64) -> bool {
        self.ailments.hangs || self.ailments.paused_until > now
    }

    /// Seconds that so much work takes, begun now.
    pub fn work_time(&mut self, now: f64, work: f64, key: u64) -> f64 {
        let warmth = if self.cold {
            let grown = (now - self.since) / self.facts.warm_up_time.max(1e-3);
            (self.facts.cold_capacity_fraction + (1.0 - self.facts.cold_capacity_fraction) * grown)
                .clamp(0.01, 1.0)
        } else {
            1.0
        };
        let saved = if self.facts.cache_saving > 0.0 {
            let met = self.kept.insert(key, now);
            met.filter(|met| now - met <= self.facts.cache_lifetime).map_or(0.0, |_| self.facts.cache_saving)
        } else {
            0.0
        };
        work * (1.0 - saved) * self.ailments.slowdown / (self.facts.speed * warmth)
    }

    /// An answer leaves: whether it is lost on the way, and the busy share it tells.
    pub fn answers(&mut self, now: f64) -> (bool, Option<f64>) {
        self.answered += 1;
        let share = self.ailments.response_loss;
        let lost = (self.answered as f64 * share).fract() < share;
        (lost, self.meter.sample(self.running, self.facts.cores, self.facts.utilization_interval, now))
    }
}

/// Puts off what a host that stands still was to do.
pub fn later(agenda: &mut Agenda, host: HostAt, life: u64, job: Job, done: Option<bool>) {
    let due = match done {
        None => Due::Begins(host, life, job),
        Some(repeat) => Due::Done(host, life, job, repeat),
    };
    agenda.after(STILL_LOOK, due);
}

pub fn refused(job: Job) -> Due {
    Due::Answered(job.op, job.attempt, AttemptResult::Rejected)
}
