//! The deltas that a proxy accepted, matched with its acknowledgements.
use railhub_record::{Answered, Event, Received, What};
use std::collections::BTreeMap;

/// A delta that a proxy accepted.
pub struct AcceptedDelta<'a> {
    /// When it reached the proxy, in seconds.
    pub at: f64,
    pub received: &'a Received,
    pub ack: &'a Answered,
}

/// Deltas and when they arrived, by proxy, controller and nonce.
type Unacknowledged<'a> = BTreeMap<(u32, u32, u64), Vec<(f64, &'a Received)>>;

/// The accepted deltas in the order of their acknowledgements.
pub fn accepted_deltas(events: &[Event]) -> Vec<AcceptedDelta<'_>> {
    let mut unacknowledged: Unacknowledged = BTreeMap::new();
    let mut accepted = Vec::new();
    for event in events {
        match &event.what {
            Some(What::Delta(received)) => {
                let key = (received.proxy, received.steward, received.delta.nonce);
                unacknowledged.entry(key).or_default().push((event.at, received));
            }
            Some(What::Answered(ack)) if !ack.refused => {
                let key = (ack.proxy, ack.steward, ack.nonce);
                for (at, received) in unacknowledged.remove(&key).unwrap_or_default() {
                    accepted.push(AcceptedDelta { at, received, ack });
                }
            }
            _ => {}
        }
    }
    accepted
}
