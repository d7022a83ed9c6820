//! The factor by which the scenario slows down the controllers' update channel, over time. Time limits are multiplied
//! by it.
use railhub_record::{Event, EventKind};
use std::collections::BTreeMap;

struct FactorChange {
    at: f64,
    factor: f64,
}

/// The slowdown factor over the whole recording.
pub struct ChannelSlowdown {
    changes: Vec<FactorChange>,
}

impl ChannelSlowdown {
    /// Reads the factor's changes from the recorded faults. The factors of overlapping faults multiply.
    pub fn from_events(events: &[Event]) -> ChannelSlowdown {
        let mut active: BTreeMap<&str, f64> = BTreeMap::new();
        let mut changes = Vec::new();
        for event in events {
            let Some(EventKind::InjectedFault(fault)) = &event.kind else { continue };
            if fault.channel_slowdown <= 0.0 {
                continue;
            }
            if fault.active {
                active.insert(&fault.name, fault.channel_slowdown);
            } else {
                active.remove(fault.name.as_str());
            }
            changes.push(FactorChange { at: event.at, factor: active.values().product() });
        }
        ChannelSlowdown { changes }
    }

    /// The largest factor at any time between `from` and `to`; at least 1.
    pub fn max_factor(&self, from: f64, to: f64) -> f64 {
        let mut largest = 1.0f64;
        for (index, change) in self.changes.iter().enumerate() {
            let until = self.changes.get(index + 1).map_or(f64::INFINITY, |next| next.at);
            if change.at <= to && until >= from {
                largest = largest.max(change.factor);
            }
        }
        largest
    }
}
