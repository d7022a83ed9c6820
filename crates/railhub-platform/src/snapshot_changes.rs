//! Differences between a complete snapshot and the proxies and slices known to the decision logic.
use crate::table::{tables_match, Table};
use railhub::{ProxyId, ProxyStreamEvent, SliceAssignment, SliceId};
use std::collections::{BTreeMap, BTreeSet};

/// The event for an established stream of a proxy. `first`: the proxy holds no table yet.
pub(crate) fn stream_established(proxy: ProxyId, first: bool) -> ProxyStreamEvent {
    if first {
        ProxyStreamEvent::Connected(proxy)
    } else {
        ProxyStreamEvent::Reconnected(proxy)
    }
}

/// Events for the streams that ended, then for all established ones, including those already known: they may have ended
/// and been re-established unnoticed.
pub(crate) fn stream_changes(
    known: &BTreeSet<ProxyId>,
    present: &BTreeMap<ProxyId, bool>,
) -> Vec<ProxyStreamEvent> {
    let absent = known.iter().filter(|proxy| !present.contains_key(proxy));
    let disconnected = absent.map(|proxy| ProxyStreamEvent::Disconnected(*proxy));
    let connected = present.iter().map(|(proxy, first)| stream_established(*proxy, *first));
    disconnected.chain(connected).collect()
}

/// Assigns the slices whose table differs from the known one, then revokes the known slices that are missing.
pub(crate) fn assignment_changes(
    mut known: BTreeMap<SliceId, Table>,
    expected: BTreeMap<SliceId, Table>,
) -> Vec<SliceAssignment> {
    let mut changes = Vec::new();
    for (slice, entries) in expected {
        let is_unchanged = known.remove(&slice).is_some_and(|table| tables_match(&table, &entries));
        if !is_unchanged {
            changes.push(SliceAssignment::Assigned { slice, entries });
        }
    }
    changes.extend(known.into_keys().map(|slice| SliceAssignment::Revoked { slice }));
    changes
}
