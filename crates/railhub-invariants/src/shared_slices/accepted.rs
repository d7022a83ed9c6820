//! The deltas that proxies accepted, matched with their acknowledgements.
use railhub_record::{DeltaAcknowledged, DeltaReceived, Event, EventKind};
use std::collections::BTreeMap;

/// A delta that a proxy accepted.
pub struct AcceptedDelta<'a> {
    /// When it reached the proxy, in seconds.
    pub at: f64,
    pub received: &'a DeltaReceived,
    pub acknowledgement: &'a DeltaAcknowledged,
}

/// Deltas and their arrival times, by proxy, controller and nonce.
type Unacknowledged<'a> = BTreeMap<(u32, u32, u64), Vec<(f64, &'a DeltaReceived)>>;

/// The accepted deltas in the order of their acknowledgements.
pub fn accepted_deltas(events: &[Event]) -> Vec<AcceptedDelta<'_>> {
    let mut unacknowledged: Unacknowledged = BTreeMap::new();
    let mut accepted = Vec::new();
    for event in events {
        match &event.kind {
            Some(EventKind::DeltaReceived(received)) => {
                let key = (received.proxy, received.controller, received.delta.nonce);
                unacknowledged.entry(key).or_default().push((event.at, received));
            }
            Some(EventKind::DeltaAcknowledged(acknowledgement)) if !acknowledgement.rejected => {
                let key = (acknowledgement.proxy, acknowledgement.controller, acknowledgement.nonce);
                for (at, received) in unacknowledged.remove(&key).unwrap_or_default() {
                    accepted.push(AcceptedDelta { at, received, acknowledgement });
                }
            }
            _ => {}
        }
    }
    accepted
}
