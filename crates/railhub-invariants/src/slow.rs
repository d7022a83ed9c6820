//! While the steward's channel is slow, the times in the other rules grow by the same factor.
use railhub_record::{Event, What};
use std::collections::BTreeMap;

pub struct Slowness {
    /// When the factor changed, and to what.
    changes: Vec<(f64, f64)>,
}

impl Slowness {
    pub fn of(events: &[Event]) -> Slowness {
        let mut on: BTreeMap<&str, f64> = BTreeMap::new();
        let mut changes = Vec::new();
        for event in events {
            let Some(What::Trouble(trouble)) = &event.what else { continue };
            if trouble.channel_slower <= 0.0 {
                continue;
            }
            match trouble.on {
                true => _ = on.insert(&trouble.name, trouble.channel_slower),
                false => _ = on.remove(trouble.name.as_str()),
            }
            changes.push((event.at, on.values().product()));
        }
        Slowness { changes }
    }

    /// The largest factor at any time from one moment to another.
    pub fn between(&self, from: f64, to: f64) -> f64 {
        let mut largest = 1.0f64;
        for (place, (at, factor)) in self.changes.iter().enumerate() {
            let until = self.changes.get(place + 1).map_or(f64::INFINITY, |next| next.0);
            if *at <= to && until >= from {
                largest = largest.max(*factor);
            }
        }
        largest
    }
}
