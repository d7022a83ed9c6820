//! Checks invariants against a recording alone: the messages on the sockets of a run and the events of its processes.
//!
//! Owns the invariants and their verdicts. Shares no code with the controller's decisions and does not depend on them.
//! Each invariant is a function over the events in the order of their times. Its verdict states whether the invariant
//! held, how close it came to its limit, and where it was violated.
//!
//! One recorded event, as [`check`] handles it:
//!
//! 1. [`limits`] finds the limits of the run, the first event of a recording; without valid ones nothing is checked.
//! 2. Each invariant reads the events from the first to the last. Its `check` hands an event to the matching
//!    `on_...` function, which updates the state that the invariant tracks: the endpoint list as a controller has
//!    received it (`endpoint_view`), the owner of a slice at a proxy (`slice_ownership`), a proxy's tables
//!    (`proxy_tables`).
//! 3. An event that can violate the invariant, such as an attempt at a host, becomes one check: the fraction of the
//!    limit that was used. Time limits are multiplied by the scenario's slowdown of the update channel
//!    (`channel_slowdown`).
//! 4. [`Verdict`] counts the check, keeps the largest fraction, and describes a violation if the fraction is above 1.
//!
//! | rule | invariant | module |
//! | --- | --- | --- |
//! | 1 | a connected proxy has a usable host for each slice | `usable_host` |
//! | 2 | no retry takes effect twice; one owner at a time writes | `duplicate_effect` |
//! | 3 | no operation is sent to a draining host after the grace period | `draining` |
//! | 4 | no host is overloaded in slow start | `slow_start` |
//! | 5 | the update channel's backlog and message rate stay within limits | `update_channel` |
//! | 6 to 10 | epochs, leases and grants of shared slices | `shared_slices` |
#![warn(missing_docs)]
mod channel_slowdown;
mod draining;
mod duplicate_effect;
mod endpoint_view;
mod error;
mod limits;
mod proxy_tables;
mod shared_slices;
mod slice_ownership;
mod slow_start;
mod update_channel;
mod usable_host;
mod verdict;

pub use error::CheckError;
pub use limits::limits;
pub use shared_slices::takeover_times;
pub use verdict::{Verdict, Violation};

use railhub_record::Event;

/// The verdicts on rules 1 to 5 and, where controllers share the slices, on rules 6 to 10. The events must be in the
/// order of their times.
///
/// # Errors
/// [`CheckError::NoValidLimits`] if the recording states no limits of its run, or implausible ones.
pub fn check(events: &[Event]) -> Result<Vec<Verdict>, CheckError> {
    let limits = limits(events).ok_or(CheckError::NoValidLimits)?;
    let mut verdicts = vec![
        usable_host::check(events, limits),
        duplicate_effect::check(events, limits),
        draining::check(events, limits),
        slow_start::check(events, limits),
        update_channel::check(events, limits),
    ];
    if slice_ownership::is_shared(events) {
        verdicts.extend(shared_slices::check(events));
    }
    Ok(verdicts)
}

#[cfg(test)]
mod tests;
