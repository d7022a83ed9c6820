//! Rules 6 to 10: what controllers that share slices promise, checked against what the store granted and wrote, and
//! what reached the proxies. The promises are on epochs; no lease or clock of a controller is trusted.
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
