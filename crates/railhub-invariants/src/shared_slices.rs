//! Rules 6 to 10: the guarantees of controllers that share slices, checked against the store's grants and writes and
//! the deltas that reached the proxies. The guarantees are on epochs; no lease or clock of a controller is trusted.
mod accepted;
mod epochs;
mod leases;
mod takeover;

pub use takeover::takeover_times;

use crate::verdict::Verdict;
use railhub_record::Event;

/// The verdicts on rules 6 to 10.
pub fn check(events: &[Event]) -> Vec<Verdict> {
    vec![
        epochs::check_one_publisher(events),
        epochs::check_epochs_rise(events),
        leases::check_lease_expiry(events),
        leases::check_grants(events),
        epochs::check_no_repeated_delta(events),
    ]
}
