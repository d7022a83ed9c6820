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

/// The known slices whose stored table is neither the known one, which the pending commands were decided on, nor a
/// result of those commands. `expected` has the stored tables with the pending commands applied.
pub(crate) fn tables_changed_elsewhere(
    known: &BTreeMap<SliceId, Table>,
    expected: &BTreeMap<SliceId, Table>,
) -> Vec<SliceId> {
    let is_changed =
        |slice: &SliceId, table: &Table| known.get(slice).is_some_and(|known| !tables_match(known, table));
    expected.iter().filter(|(slice, table)| is_changed(slice, table)).map(|(slice, _)| *slice).collect()
}

/// Assigns the slices of a snapshot, then revokes the known slices that are missing. With a single owner all of them
/// are assigned, as another controller may have had them meanwhile; otherwise those whose table differs.
pub(crate) fn assignment_changes(
    mut known: BTreeMap<SliceId, Table>,
    expected: BTreeMap<SliceId, Table>,
    single_owner: bool,
) -> Vec<SliceAssignment> {
    let mut changes = Vec::new();
    for (slice, entries) in expected {
        let former = known.remove(&slice);
        if single_owner && former.is_some() {
            changes.push(SliceAssignment::Retained { slice, entries });
        } else if !former.is_some_and(|table| tables_match(&table, &entries)) {
            changes.push(SliceAssignment::Assigned { slice, entries });
        }
    }
    changes.extend(known.into_keys().map(|slice| SliceAssignment::Revoked { slice }));
    changes
}
