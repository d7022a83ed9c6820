//! How long a proxy waits for the next owner of a slice after a controller's process ended.
use railhub_record::{DeltaReceived, Event, EventKind};
use std::collections::BTreeMap;

#[derive(Clone, Copy)]
struct Owner {
    controller: u32,
    epoch: u64,
}

/// The owners and the open waits; both maps by proxy and slice.
#[derive(Default)]
struct Takeovers {
    owners: BTreeMap<(u32, u32), Owner>,
    /// When the owner's process ended, in seconds.
    waiting_since: BTreeMap<(u32, u32), f64>,
    /// The finished waits, in seconds.
    times: Vec<f64>,
}

/// Seconds from the end of a controller's process until each proxy received a newer epoch of each slice that the
/// controller owned there. One value for each proxy and slice, in no particular order.
pub fn takeover_times(events: &[Event]) -> Vec<f64> {
    let mut takeovers = Takeovers::default();
    for event in events {
        match &event.kind {
            Some(EventKind::ControllerLifecycle(lifecycle)) if !lifecycle.running => {
                takeovers.on_process_end(event.at, lifecycle.controller)
            }
            Some(EventKind::DeltaReceived(received)) => takeovers.on_delta(event.at, received),
            _ => {}
        }
    }
    takeovers.times
}

impl Takeovers {
    fn on_process_end(&mut self, at: f64, controller: u32) {
        for (key, owner) in &self.owners {
            if owner.controller == controller {
                self.waiting_since.entry(*key).or_insert(at);
            }
        }
    }

    fn on_delta(&mut self, at: f64, received: &DeltaReceived) {
        for assignment in &received.delta.epochs {
            let key = (received.proxy, assignment.slice);
            if self.owners.get(&key).is_some_and(|known| known.epoch >= assignment.epoch) {
                continue;
            }
            self.owners.insert(key, Owner { controller: received.controller, epoch: assignment.epoch });
            if let Some(since) = self.waiting_since.remove(&key) {
                self.times.push(at - since);
            }
        }
    }
}
