//! Simulated hosts: cores, a queue, cold start, cached keys and faults.
use crate::events::{EventQueue, HostIndex, Job, ScheduledEvent};
use railhub_emulator::host::{HostConfig, HostFaults, UtilizationMeter};
use railhub_emulator::AttemptResult;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Time until a paused host is checked again; the same as in the emulator.
const PAUSE_POLL_INTERVAL_SECONDS: f64 = 0.01;

/// State of a simulated host.
pub struct Host {
    pub address: SocketAddr,
    pub config: HostConfig,
    pub alive: bool,
    /// Counts starts and stops, so that events for the work of an earlier process are discarded.
    pub generation: u64,
    /// Start time shown in the endpoint list; `None` for a host that started warm.
    pub started_at: Option<f64>,
    pub warm_up_start: f64,
    pub cold: bool,
    pub weight: f64,
    pub is_phantom: bool,
    pub is_leaving: bool,
    pub faults: HostFaults,
    /// Busy cores.
    running: usize,
    queue: VecDeque<Job>,
    /// Queued attempts whose proxy no longer waits for them.
    cancelled: BTreeSet<u64>,
    /// Time of last use by key.
    cached_keys: BTreeMap<u64, f64>,
    responses_sent: u64,
    utilization_meter: UtilizationMeter,
}

/// What a host did with an attempt on its arrival.
pub enum HostAdmission {
    Started,
    Queued,
    QueueFull,
    HostDown,
}

impl Host {
    pub fn new(address: SocketAddr, config: HostConfig) -> Host {
        let weight = config.cores as f64;
        Host {
            address,
            config,
            alive: false,
            generation: 0,
            started_at: None,
            warm_up_start: 0.0,
            cold: false,
            weight,
            is_phantom: false,
            is_leaving: false,
            faults: HostFaults::default(),
            running: 0,
            queue: VecDeque::new(),
            cancelled: BTreeSet::new(),
            cached_keys: BTreeMap::new(),
            responses_sent: 0,
            utilization_meter: UtilizationMeter::default(),
        }
    }

    pub fn start(&mut self, now: f64, cold: bool) {
        self.alive = true;
        self.generation += 1;
        (self.warm_up_start, self.cold) = (now, cold);
        self.started_at = cold.then_some(now);
        self.faults = HostFaults::default();
        self.reset(now);
    }

    /// Stops the process, which loses its queued and running attempts; returns whether it was running.
    pub fn stop(&mut self, now: f64) -> bool {
        let was_alive = std::mem::replace(&mut self.alive, false);
        self.generation += 1;
        self.reset(now);
        was_alive
    }

    fn reset(&mut self, now: f64) {
        self.running = 0;
        self.queue.clear();
        self.cancelled.clear();
        self.cached_keys.clear();
        self.utilization_meter = UtilizationMeter::new(now);
    }

    /// Starts the job, queues it or refuses it.
    pub fn admit(&mut self, now: f64, job: Job) -> HostAdmission {
        if !self.alive {
            HostAdmission::HostDown
        } else if self.running < self.config.cores {
            self.utilization_meter.count(self.running, now);
            self.running += 1;
            HostAdmission::Started
        } else if self.queue.len() < self.config.max_queued {
            self.queue.push_back(job);
            HostAdmission::Queued
        } else {
            HostAdmission::QueueFull
        }
    }

    /// Drops an attempt that is still queued, since its proxy no longer waits for it.
    pub fn cancel(&mut self, attempt: u64) {
        if self.queue.iter().any(|job| job.attempt == attempt) {
            self.cancelled.insert(attempt);
        }
    }

    /// Takes the next job for a core that has become free; releases the core if there is none.
    pub fn next_job(&mut self, now: f64) -> Option<Job> {
        while let Some(job) = self.queue.pop_front() {
            if !self.cancelled.remove(&job.attempt) {
                return Some(job);
            }
        }
        self.utilization_meter.count(self.running, now);
        self.running = self.running.saturating_sub(1);
        None
    }

    pub fn is_paused(&self, now: f64) -> bool {
        self.faults.hangs || self.faults.paused_until > now
    }

    /// Seconds that the given work takes if it starts now.
    pub fn processing_time(&mut self, now: f64, work: f64, key: u64) -> f64 {
        let capacity_fraction = if self.cold {
            let warm_up_progress = (now - self.warm_up_start) / self.config.warm_up_time.max(1e-3);
            (self.config.cold_capacity_fraction
                + (1.0 - self.config.cold_capacity_fraction) * warm_up_progress)
                .clamp(0.01, 1.0)
        } else {
            1.0
        };
        let saved_fraction = if self.config.cache_saving > 0.0 {
            let cached_at = self.cached_keys.insert(key, now);
            cached_at
                .filter(|cached_at| now - cached_at <= self.config.cache_lifetime)
                .map_or(0.0, |_| self.config.cache_saving)
        } else {
            0.0
        };
        work * (1.0 - saved_fraction) * self.faults.slowdown / (self.config.speed * capacity_fraction)
    }

    /// Sends a response: whether it is lost, and the utilization that it reports.
    pub fn finish_response(&mut self, now: f64) -> (bool, Option<f64>) {
        self.responses_sent += 1;
        let loss_fraction = self.faults.response_loss;
        let lost = (self.responses_sent as f64 * loss_fraction).fract() < loss_fraction;
        (
            lost,
            self.utilization_meter.sample(
                self.running,
                self.config.cores,
                self.config.utilization_interval,
                now,
            ),
        )
    }
}

/// Schedules the start or the end of work on a paused host again. `finished_work` is `None` for work that has not
/// started, otherwise whether it is a duplicate.
pub fn postpone(
    event_queue: &mut EventQueue,
    host: HostIndex,
    generation: u64,
    job: Job,
    finished_work: Option<bool>,
) {
    let event = match finished_work {
        None => ScheduledEvent::WorkStarts(host, generation, job),
        Some(is_duplicate) => ScheduledEvent::WorkEnds(host, generation, job, is_duplicate),
    };
    event_queue.after(PAUSE_POLL_INTERVAL_SECONDS, event);
}

/// The end of an attempt that a host refused because its queue is full.
pub fn rejection_event(job: Job) -> ScheduledEvent {
    ScheduledEvent::AttemptEnds(job.operation, job.attempt, AttemptResult::Rejected)
}
