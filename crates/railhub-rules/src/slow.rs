//! While the steward's channel is slow, the times in the other rules grow by the same factor.
use railhub_record::{Event, What};

pub struct Slowness {
    /// When the factor changed, and to what.
    changes: Vec<(f64, f64)>,
}

impl Slowness {
    pub fn of(events: &[Event]) -> Slowness {
        let changes = events.iter().filter_map(|event| match &event.what {
            Some(What::Trouble(trouble)) if trouble.channel_slower > 0.0 => {
                Some((event.at, trouble.channel_slower))
            }
            _ => None,
        });
        Slowness { changes: changes.collect() }
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
