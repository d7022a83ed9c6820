//! The queue and the cores of a host: an operation waits for a core, is executed, and is answered with a response.
use super::connections::send;
use super::{Host, HostState, Job};
use crate::operation::OperationClass;
use railhub_net::{now, seconds, spawn};
use railhub_proto::{from_host, AttemptOutcome, Response};
use railhub_record::{Effect, EventKind};
use std::sync::Arc;

/// Seconds between checks whether a paused host has resumed.
const RESUME_CHECK_INTERVAL_SECONDS: f64 = 0.01;
/// Number of cached keys above which the expired ones are dropped.
const MAX_CACHED_KEYS: usize = 20_000;
/// Minimum warm-up time in seconds; a shorter one is extended to it, which avoids a division by 0.
const MIN_WARM_UP_SECONDS: f64 = 1e-3;
/// Minimum fraction of its capacity that a cold host has.
const MIN_CAPACITY_FRACTION: f64 = 0.01;

/// What happens to a received job.
enum EnqueueResult {
    /// A core was free: the job starts in this process.
    Started(u64, Job),
    /// The job was put into the queue.
    Queued,
    /// The cores and the queue are full: the job is rejected.
    Rejected,
}

impl Host {
    /// Starts a job on a free core, puts it into the queue, or rejects it.
    pub(super) fn enqueue(self: Arc<Host>, job: Job) {
        let (attempt_id, writer) = (job.operation.attempt_id, job.writer.clone());
        let result = self.with_state(|state| {
            if state.running < self.config.cores {
                state.utilization.count(state.running, now());
                state.running += 1;
                EnqueueResult::Started(state.process, job)
            } else if state.queue.len() < self.config.max_queued {
                state.queue.push_back(job);
                EnqueueResult::Queued
            } else {
                EnqueueResult::Rejected
            }
        });
        match result {
            EnqueueResult::Started(process, job) => _ = spawn(move || self.run_core(process, job)),
            EnqueueResult::Queued => {}
            EnqueueResult::Rejected => {
                let outcome = AttemptOutcome::Refused.into();
                let response = Response { attempt_id, outcome, utilization: Some(1.0) };
                send(&writer, from_host::Payload::Response(response));
            }
        }
    }

    /// Runs one core: executes a job, then the jobs of the queue, until the queue is empty or the process has ended.
    fn run_core(self: Arc<Host>, process: u64, first_job: Job) {
        let mut next_job_to_run = Some(first_job);
        while let Some(job) = next_job_to_run {
            if !self.execute(process, &job) {
                return;
            }
            next_job_to_run = self.with_state(|state| next_job(state, process));
        }
    }

    /// Executes a job and responds. Returns false if the process has ended meanwhile.
    fn execute(&self, process: u64, job: &Job) -> bool {
        if !self.wait_while_paused(process) {
            return false;
        }
        let Some(class) = self.classes.get(job.operation.class as usize) else {
            self.respond(job, AttemptOutcome::Failed);
            return true;
        };
        let completed = self.work(class, job);
        if !self.wait_while_paused(process) {
            return false;
        }
        let Some(duplicate) = completed else {
            self.respond(job, AttemptOutcome::Failed);
            return true;
        };
        let effect = Effect {
            operation: job.operation.operation_id,
            host: self.address.to_string(),
            class: job.operation.class,
            slice: job.operation.slice,
            began: job.received_at,
            dropped: duplicate,
        };
        self.recorder.record(now(), EventKind::Effect(effect));
        self.respond(job, AttemptOutcome::Completed);
        true
    }

    /// Sleeps for the duration of a job's work; a duplicate or a failing job takes no time. Returns whether the job is
    /// a duplicate, or `None` if it failed.
    fn work(&self, class: &OperationClass, job: &Job) -> Option<bool> {
        let began = now();
        let (operation, zone) = (&job.operation, self.config.zone);
        let duplicate = self.seen_operations.is_duplicate(class, zone, operation.operation_id, began);
        let (duration, fails) = self.with_state(|state| {
            let capacity = self.capacity_fraction(state, began);
            let saved_fraction = self.cache_saving(state, operation.key, began);
            let duration = operation.work * (1.0 - saved_fraction) * state.faults.slowdown
                / (self.config.speed * capacity);
            (duration, state.faults.fails)
        });
        may::coroutine::sleep(seconds(if duplicate || fails { 0.0 } else { duration }));
        (!fails).then_some(duplicate)
    }

    /// Waits while the host hangs or is paused. Returns false if the process has ended meanwhile.
    pub(super) fn wait_while_paused(&self, process: u64) -> bool {
        loop {
            let at = now();
            let (alive, paused) = self.with_state(|state| {
                (state.process == process, state.faults.hangs || state.faults.paused_until > at)
            });
            if !alive || !paused {
                return alive;
            }
            may::coroutine::sleep(seconds(RESUME_CHECK_INTERVAL_SECONDS));
        }
    }

    /// Fraction of its capacity that the host has at a time; it grows linearly during the warm-up.
    fn capacity_fraction(&self, state: &HostState, at: f64) -> f64 {
        if !state.cold {
            return 1.0;
        }
        let cold = self.config.cold_capacity_fraction;
        let progress = (at - state.started_at) / self.config.warm_up_time.max(MIN_WARM_UP_SECONDS);
        (cold + (1.0 - cold) * progress).clamp(MIN_CAPACITY_FRACTION, 1.0)
    }

    /// Fraction of the work that is saved because the key is cached. Caches the key from now on.
    fn cache_saving(&self, state: &mut HostState, key: u64, at: f64) -> f64 {
        let lifetime = self.config.cache_lifetime;
        if self.config.cache_saving <= 0.0 {
            return 0.0;
        }
        if state.cached_keys.len() > MAX_CACHED_KEYS {
            state.cached_keys.retain(|_, used_at| at - *used_at <= lifetime);
        }
        let last_used = state.cached_keys.insert(key, at);
        if last_used.is_some_and(|used_at| at - used_at <= lifetime) {
            self.config.cache_saving
        } else {
            0.0
        }
    }

    /// Sends the response to a job, unless the injected response loss drops it.
    fn respond(&self, job: &Job, outcome: AttemptOutcome) {
        let at = now();
        let (lost, utilization) = self.with_state(|state| {
            state.responses += 1;
            let loss = state.faults.response_loss;
            // Losses are spread evenly over the responses, so that they are identical in each run.
            let is_lost = (state.responses as f64 * loss).fract() < loss;
            let (cores, interval) = (self.config.cores, self.config.utilization_interval);
            (is_lost, state.utilization.sample(state.running, cores, interval, at))
        });
        if !lost {
            let attempt_id = job.operation.attempt_id;
            let response = Response { attempt_id, outcome: outcome.into(), utilization };
            send(&job.writer, from_host::Payload::Response(response));
        }
    }
}

/// Takes the next job from the queue that is not cancelled. Frees the core if there is none; returns `None` as well if
/// the process has ended.
fn next_job(state: &mut HostState, process: u64) -> Option<Job> {
    if state.process != process {
        return None;
    }
    while let Some(job) = state.queue.pop_front() {
        if !state.cancelled.remove(&job.key()) {
            return Some(job);
        }
    }
    state.utilization.count(state.running, now());
    state.running -= 1;
    None
}
