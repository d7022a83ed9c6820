//! Events for the next batch, and the timers that the decision logic has set.
use railhub::{EventBatch, HostLoadReport, Seconds, SliceLoadReport, TimerId};

/// Maximum number of load reports of each kind in one batch. Further ones are dropped, since the reports that follow
/// are more recent.
const MAX_LOAD_REPORTS_PER_BATCH: usize = 8192;

/// The events of the next batch.
#[derive(Default)]
pub(crate) struct PendingBatch {
    pub(crate) events: EventBatch,
    /// Whether an event that requires a new batch has arrived since the last one.
    pub(crate) changed: bool,
    /// When the last batch was handled.
    pub(crate) handled_at: Seconds,
    /// Number of load reports dropped because the batch was full.
    pub(crate) load_reports_dropped: u64,
}

impl PendingBatch {
    /// Adds a load report of one host, from the proxies of one zone.
    pub(crate) fn add_host_load(&mut self, report: HostLoadReport) {
        let added = push_bounded(&mut self.events.host_loads, report);
        self.count_load_report(added);
    }

    /// Adds a load report of one slice and class.
    pub(crate) fn add_slice_load(&mut self, report: SliceLoadReport) {
        let added = push_bounded(&mut self.events.slice_loads, report);
        self.count_load_report(added);
    }

    fn count_load_report(&mut self, added: bool) {
        self.changed |= added;
        self.load_reports_dropped += u64::from(!added);
    }

    /// Takes the events for a batch that is handled now.
    pub(crate) fn take(&mut self, now: Seconds) -> EventBatch {
        self.changed = false;
        self.handled_at = now;
        EventBatch { now, ..std::mem::take(&mut self.events) }
    }
}

/// Adds a report unless the limit is reached. Returns whether it was added.
fn push_bounded<T>(reports: &mut Vec<T>, report: T) -> bool {
    let is_below_limit = reports.len() < MAX_LOAD_REPORTS_PER_BATCH;
    if is_below_limit {
        reports.push(report);
    }
    is_below_limit
}

/// A timer of the decision logic.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timer {
    pub(crate) due_at: Seconds,
    pub(crate) id: TimerId,
}

/// The timers that have not expired, in the order in which they were set.
#[derive(Debug, Default)]
pub(crate) struct Timers(Vec<Timer>);

impl Timers {
    /// Sets a timer.
    pub(crate) fn set(&mut self, due_at: Seconds, id: TimerId) {
        self.0.push(Timer { due_at, id });
    }

    /// When the next timer expires.
    pub(crate) fn next_due(&self) -> Option<Seconds> {
        self.0.iter().map(|timer| timer.due_at).min_by(f64::total_cmp)
    }

    /// Whether a timer has expired.
    pub(crate) fn is_due(&self, now: Seconds) -> bool {
        self.0.iter().any(|timer| timer.due_at <= now)
    }

    /// Removes and returns the expired timers.
    pub(crate) fn take_expired(&mut self, now: Seconds) -> Vec<Timer> {
        let (expired, waiting) = self.0.drain(..).partition(|timer| timer.due_at <= now);
        self.0 = waiting;
        expired
    }
}
