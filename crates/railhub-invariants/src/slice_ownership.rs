//! The controller that owns a slice as seen by a proxy: the sender of the newest epoch that reached this proxy. Also
//! the controllers that can publish at all.
use railhub_record::{ControllerLifecycle, DeltaReceived, Event, EventKind};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy)]
struct Owner {
    epoch: u64,
    controller: u32,
    /// When the slice was last taken over from a controller that could not publish any more, in seconds; 0 if never.
    accountable_since: f64,
    /// The slice was taken over: an older epoch of it had reached the proxy.
    took_over: bool,
}

/// The owners that have reached the proxies so far, and the controllers' processes.
#[derive(Default)]
pub struct SliceOwnership {
    /// By proxy and slice.
    owners: BTreeMap<(u32, u32), Owner>,
    /// Controllers whose process exists.
    running: BTreeSet<u32>,
    /// Running controllers whose process is paused.
    paused: BTreeSet<u32>,
    /// When a controller was last started or resumed, in seconds.
    resumed_at: BTreeMap<u32, f64>,
}

impl SliceOwnership {
    /// Applies a delta that reached a proxy. Returns its slices whose epoch is older than one that reached the proxy
    /// before.
    pub fn on_delta(&mut self, at: f64, received: &DeltaReceived) -> BTreeSet<u32> {
        let mut stale = BTreeSet::new();
        for assignment in &received.delta.epochs {
            let key = (received.proxy, assignment.slice);
            let mut owner = Owner {
                epoch: assignment.epoch,
                controller: received.controller,
                accountable_since: 0.0,
                took_over: false,
            };
            if let Some(known) = self.owners.get(&key) {
                if known.epoch > assignment.epoch {
                    stale.insert(assignment.slice);
                }
                if known.epoch >= assignment.epoch {
                    continue;
                }
                let is_planned = self.can_publish(known.controller);
                owner.accountable_since = if is_planned { known.accountable_since } else { at };
                owner.took_over = true;
            }
            self.owners.insert(key, owner);
        }
        stale
    }

    /// Applies a start, pause, resumption or end of a controller's process.
    pub fn on_process_event(&mut self, at: f64, lifecycle: &ControllerLifecycle) {
        match (lifecycle.running, lifecycle.paused) {
            (true, true) => _ = self.paused.insert(lifecycle.controller),
            (true, false) => {
                self.running.insert(lifecycle.controller);
                self.paused.remove(&lifecycle.controller);
                self.resumed_at.insert(lifecycle.controller, at);
            }
            (false, _) => {
                self.running.remove(&lifecycle.controller);
                self.paused.remove(&lifecycle.controller);
            }
        }
    }

    /// Whether no controller's process exists.
    pub fn none_running(&self) -> bool {
        self.running.is_empty()
    }

    /// Whether a controller's process runs and is not paused.
    pub fn can_publish(&self, controller: u32) -> bool {
        self.running.contains(&controller) && !self.paused.contains(&controller)
    }

    /// The controller that owns a slice at a proxy; 0 until an epoch has reached the proxy.
    pub fn owner(&self, proxy: u32, slice: u32) -> u32 {
        self.owners.get(&(proxy, slice)).map_or(0, |owner| owner.controller)
    }

    /// Whether the slice was taken over at this proxy: an older epoch of it had reached the proxy.
    pub fn took_over(&self, proxy: u32, slice: u32) -> bool {
        self.owners.get(&(proxy, slice)).is_some_and(|owner| owner.took_over)
    }

    /// Since when the owner of a slice is accountable for publishing an update to a proxy: since the slice was taken
    /// over from a controller that could not publish, and since the owner's process last started or resumed.
    pub fn accountable_since(&self, proxy: u32, slice: u32) -> f64 {
        let owner = self.owners.get(&(proxy, slice));
        let controller = owner.map_or(0, |owner| owner.controller);
        let resumed_at = self.resumed_at.get(&controller).copied().unwrap_or(0.0);
        owner.map_or(0.0, |owner| owner.accountable_since).max(resumed_at)
    }
}

/// Whether controllers of the run share the slices through a store.
pub fn is_shared(events: &[Event]) -> bool {
    events
        .iter()
        .any(|event| matches!(&event.kind, Some(EventKind::SliceGranted(_) | EventKind::TableWrite(_))))
}
