//! What a complete snapshot changes in what the decisions know of proxies and slices.
use crate::table::{tables_match, Table};
use railhub::{ProxyId, ProxyStreamEvent, SliceAssignment, SliceId};
use std::collections::{BTreeMap, BTreeSet};

/// The stream of a proxy is up. `first`: it holds no table yet.
pub(crate) fn stream_established(proxy: ProxyId, first: bool) -> ProxyStreamEvent {
    if first {
        ProxyStreamEvent::Connected(proxy)
    } else {
        ProxyStreamEvent::Reconnected(proxy)
    }
}

/// Streams that are gone, then those that are up. Also one that was known to be up is among these: it may have gone and
/// returned unseen.
pub(crate) fn stream_changes(
    known: &BTreeSet<ProxyId>,
    present: &BTreeMap<ProxyId, bool>,
) -> Vec<ProxyStreamEvent> {
    let absent = known.iter().filter(|proxy| !present.contains_key(proxy));
    let down = absent.map(|proxy| ProxyStreamEvent::Disconnected(*proxy));
    let up = present.iter().map(|(proxy, first)| stream_established(*proxy, *first));
    down.chain(up).collect()
}

/// Assigns the slices whose table is not as known, then revokes those that are missing.
pub(crate) fn assignment_changes(
    mut known: BTreeMap<SliceId, Table>,
    expected: BTreeMap<SliceId, Table>,
) -> Vec<SliceAssignment> {
    let mut changes = Vec::new();
    for (slice, entries) in expected {
        let is_as_known = known.remove(&slice).is_some_and(|table| tables_match(&table, &entries));
        if !is_as_known {
            changes.push(SliceAssignment::Assigned { slice, entries });
        }
    }
    changes.extend(known.into_keys().map(|slice| SliceAssignment::Revoked { slice }));
    changes
}
