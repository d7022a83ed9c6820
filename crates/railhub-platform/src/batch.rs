//! Events that wait for the next batch of the decisions, and the timers that the decisions set.
use railhub::{EventBatch, HostLoadReport, Seconds, SliceLoadReport, TimerId};

/// Most load reports of each kind in one batch; further ones are dropped, as the next ones say more.
const MAX_LOAD_REPORTS_PER_BATCH: usize = 8192;

/// Events that wait for the next batch.
#[derive(Default)]
pub(crate) struct PendingBatch {
    pub(crate) events: EventBatch,
    /// Something came since the last batch.
    pub(crate) changed: bool,
    /// When the last batch was handled.
    pub(crate) handled_at: Seconds,
    /// Load reports dropped for want of room.
    pub(crate) load_reports_dropped: u64,
}

impl PendingBatch {
    /// Adds what the proxies of a zone saw of one host.
    pub(crate) fn add_host_load(&mut self, report: HostLoadReport) {
        let added = push_bounded(&mut self.events.host_loads, report);
        self.count_load_report(added);
    }

    /// Adds what the proxies saw of one slice and class.
    pub(crate) fn add_slice_load(&mut self, report: SliceLoadReport) {
        let added = push_bounded(&mut self.events.slice_loads, report);
        self.count_load_report(added);
    }

    fn count_load_report(&mut self, added: bool) {
        self.changed |= added;
        self.load_reports_dropped += u64::from(!added);
    }

    /// Takes the events out for a batch that is handled now.
    pub(crate) fn take(&mut self, now: Seconds) -> EventBatch {
        self.changed = false;
        self.handled_at = now;
        EventBatch { now, ..std::mem::take(&mut self.events) }
    }
}

/// Returns whether there was room.
fn push_bounded<T>(reports: &mut Vec<T>, report: T) -> bool {
    let has_room = reports.len() < MAX_LOAD_REPORTS_PER_BATCH;
    if has_room {
        reports.push(report);
    }
    has_room
}

/// A timer of the decisions.
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

    /// When the next one expires.
    pub(crate) fn next_due(&self) -> Option<Seconds> {
        self.0.iter().map(|timer| timer.due_at).min_by(f64::total_cmp)
    }

    /// Whether one has expired.
    pub(crate) fn is_due(&self, now: Seconds) -> bool {
        self.0.iter().any(|timer| timer.due_at <= now)
    }

    /// Takes out those that have expired.
    pub(crate) fn take_expired(&mut self, now: Seconds) -> Vec<Timer> {
        let (expired, waiting) = self.0.drain(..).partition(|timer| timer.due_at <= now);
        self.0 = waiting;
        expired
    }
}
