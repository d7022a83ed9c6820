//! The limits that a recording states for its run.
use railhub_record::{Event, EventKind, Limits};

/// Longest plausible run; a scenario lasts at most 3600 s.
pub(crate) const MAX_RUN_SECONDS: f64 = 86_400.0;
/// Largest plausible number of slices; a scenario has at most 60,000.
pub(crate) const MAX_SLICES: u32 = 1 << 16;

/// The limits of a run: the first that the recording states, or `None` if those are implausible.
pub fn limits(events: &[Event]) -> Option<&Limits> {
    let found = events.iter().find_map(|event| match &event.kind {
        Some(EventKind::Limits(limits)) => Some(limits),
        _ => None,
    });
    found.filter(|limits| is_plausible(limits))
}

/// Whether the limits are plausible, so that a check of all slices over the whole run ends in reasonable time.
fn is_plausible(limits: &Limits) -> bool {
    limits.from >= 0.0
        && (0.0..=MAX_RUN_SECONDS).contains(&(limits.until - limits.from))
        && limits.slices <= MAX_SLICES
}
