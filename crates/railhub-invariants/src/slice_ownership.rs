//! Which controller owns a slice as seen by a proxy: the one of the newest epoch that reached this proxy. Also which
//! controllers can publish at all.
use railhub_record::{ControllerLifecycle, DeltaReceived, Event, EventKind};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy)]
struct Owner {
    epoch: u64,
    controller: u32,
    /// When it took the slice over from a controller that could not publish any more; else 0, the start.
    accountable_since: f64,
    /// Another controller owned the slice before.
    took_over: bool,
}

/// The owners that have reached the proxies so far, and the controllers' processes.
#[derive(Default)]
pub struct SliceOwnership {
    /// By proxy and slice.
    owners: BTreeMap<(u32, u32), Owner>,
    /// Controllers whose process exists.
    running: BTreeSet<u32>,
    /// Those of them that are paused.
    paused: BTreeSet<u32>,
    /// When a controller was last started or resumed, in seconds.
    resumed_at: BTreeMap<u32, f64>,
}

impl SliceOwnership {
    /// Applies a delta that reached a proxy. Returns its slices that carry an older epoch than the proxy has seen.
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

    /// Whether no controller's process is left.
    pub fn none_running(&self) -> bool {
        self.running.is_empty()
    }

    /// Whether a controller's process runs and is not paused.
    pub fn can_publish(&self, controller: u32) -> bool {
        self.running.contains(&controller) && !self.paused.contains(&controller)
    }

    /// The controller that owns a slice at a proxy; 0 until an epoch has reached it.
    pub fn owner(&self, proxy: u32, slice: u32) -> u32 {
        self.owners.get(&(proxy, slice)).map_or(0, |owner| owner.controller)
    }

    /// Whether another controller owned the slice before, at this proxy.
    pub fn took_over(&self, proxy: u32, slice: u32) -> bool {
        self.owners.get(&(proxy, slice)).is_some_and(|owner| owner.took_over)
    }

    /// Since when a slice's owner can be held to an update: since it took over from a controller that could not
    /// publish, and since its own process was last resumed.
    pub fn accountable_since(&self, proxy: u32, slice: u32) -> f64 {
        let owner = self.owners.get(&(proxy, slice));
        let controller = owner.map_or(0, |owner| owner.controller);
        let resumed_at = self.resumed_at.get(&controller).copied().unwrap_or(0.0);
        owner.map_or(0.0, |owner| owner.accountable_since).max(resumed_at)
    }
}

/// Whether the slices of a run are shared between several controllers.
pub fn is_shared(events: &[Event]) -> bool {
    events
        .iter()
        .any(|event| matches!(&event.kind, Some(EventKind::SliceGranted(_) | EventKind::TableWrite(_))))
}
