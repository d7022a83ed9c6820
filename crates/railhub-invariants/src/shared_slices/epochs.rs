//! Rules 6, 7 and 10: the epochs and versions of the deltas at the proxies.
use super::accepted::accepted_deltas;
use crate::verdict::Verdict;
use railhub_record::{Event, EventKind};
use std::collections::BTreeMap;

/// Rule 6: no two processes publish a slice under the same epoch.
pub fn check_one_publisher(events: &[Event]) -> Verdict {
    let mut verdict = Verdict::new(6, "one steward a slice and epoch");
    // The first process that published, by slice and epoch.
    let mut publishers: BTreeMap<(u32, u64), u64> = BTreeMap::new();
    for event in events {
        let Some(EventKind::DeltaReceived(received)) = &event.kind else { continue };
        let process = received.delta.incarnation;
        for assignment in &received.delta.epochs {
            let (slice, epoch) = (assignment.slice, assignment.epoch);
            let first = *publishers.entry((slice, epoch)).or_insert(process);
            verdict.check_condition(event.at, first != process, || {
                format!("slice {slice}, epoch {epoch}: ordered by processes {first} and {process}")
            });
        }
    }
    verdict
}

/// Rule 7: no proxy accepts an epoch after a newer one of the same slice.
pub fn check_epochs_rise(events: &[Event]) -> Verdict {
    let mut verdict = Verdict::new(7, "no epoch goes back at a proxy");
    // By proxy and slice.
    let mut newest: BTreeMap<(u32, u32), u64> = BTreeMap::new();
    for accepted in accepted_deltas(events) {
        let proxy = accepted.received.proxy;
        for assignment in &accepted.received.delta.epochs {
            let (slice, epoch) = (assignment.slice, assignment.epoch);
            if accepted.acknowledgement.stale_slices.contains(&slice) {
                continue;
            }
            let known = newest.entry((proxy, slice)).or_default();
            verdict.check_condition(accepted.at, epoch < *known, || {
                format!("proxy {proxy}, slice {slice}: obeys epoch {epoch} after {known}")
            });
            *known = epoch.max(*known);
        }
    }
    verdict
}

/// The newest version that a proxy accepted from a process.
#[derive(Clone, Copy, Default)]
struct AcceptedVersion {
    version: u64,
    /// When the latest delta of the process arrived, in seconds.
    at: f64,
}

/// Rule 10: no proxy accepts a delta of a process after a later one of the same process, nor the same delta twice on one
/// stream.
pub fn check_no_repeated_delta(events: &[Event]) -> Verdict {
    let mut verdict = Verdict::new(10, "no order is taken twice");
    // By proxy and process.
    let mut latest: BTreeMap<(u32, u64), AcceptedVersion> = BTreeMap::new();
    for accepted in accepted_deltas(events) {
        let (proxy, delta) = (accepted.received.proxy, &accepted.received.delta);
        let known = latest.entry((proxy, delta.incarnation)).or_default();
        // A reopened stream may begin with an empty delta of the same version, which states its position.
        let repeated = delta.version == known.version && delta.cost() > 0 && !delta.reset;
        let violated = repeated || delta.version < known.version;
        verdict.check_condition(accepted.at, violated, || {
            let AcceptedVersion { version, at } = known;
            format!("proxy {proxy}: version {} after {version}, taken at {at:.3}", delta.version)
        });
        *known = AcceptedVersion { version: delta.version.max(known.version), at: accepted.at };
    }
    verdict
}
