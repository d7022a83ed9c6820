//! Which node should hold a slice: weighted rendezvous hashing over the eligible nodes, so that a node that comes or
//! goes moves its own slices and no others. Handovers are limited in rate, and a node that flaps is held down.
use crate::{NodeId, Seconds};
use std::collections::BTreeMap;

/// Planned handovers of slices in a second. A planned change is in no hurry, and each handover costs the new holder a
/// request to the store and the proxies an update.
const HANDOVERS_PER_SECOND: f64 = 40.0;
/// Seconds of handovers that may be saved up for a burst.
const HANDOVER_BURST_WINDOW: Seconds = 0.5;
/// Seconds that a node must have lived before slices go back to it; doubled for each recent departure.
const BASE_HOLD_DOWN: Seconds = 4.0;
/// Longest hold-down in seconds.
const MAX_HOLD_DOWN: Seconds = 120.0;
/// Seconds after which a departure counts for 1/e.
const FLAP_DECAY_TIME: Seconds = 60.0;
/// Smallest weight that a node counts with.
const MIN_WEIGHT: f64 = 1e-6;

/// The node that a slice belongs to, by weighted rendezvous hashing. Weights are what nodes can bear relative to each
/// other.
pub fn rendezvous_owner(slice: u16, weights: &BTreeMap<NodeId, f64>) -> Option<NodeId> {
    let score = |id: &NodeId, weight: f64| -weight.max(MIN_WEIGHT) / unit_hash(slice, *id).ln();
    let best = weights.iter().max_by(|a, b| score(a.0, *a.1).total_cmp(&score(b.0, *b.1)));
    best.map(|(id, _)| *id)
}

/// A number between 0 and 1 that depends on slice and node alone.
fn unit_hash(slice: u16, node: NodeId) -> f64 {
    let mut bits = (u64::from(node.0) << 32 | u64::from(slice)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^= bits >> 31;
    ((bits >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// How often a node has gone away, decaying.
#[derive(Clone, Copy, Debug, Default)]
struct FlapHistory {
    live_since: Option<Seconds>,
    departures: f64,
    last_departure_at: Seconds,
}

impl FlapHistory {
    fn update_liveness(&mut self, now: Seconds, is_live: bool) {
        match (self.live_since, is_live) {
            (None, true) => self.live_since = Some(now),
            (Some(_), false) => {
                self.departures = self.recent_departures(now) + 1.0;
                self.last_departure_at = now;
                self.live_since = None;
            }
            (Some(_), true) | (None, false) => {}
        }
    }

    fn recent_departures(&self, now: Seconds) -> f64 {
        self.departures * (-(now - self.last_departure_at).max(0.0) / FLAP_DECAY_TIME).exp()
    }

    /// Whether it lives and its hold-down is over. A node that was there from the start has none.
    fn is_stable(&self, now: Seconds) -> bool {
        let Some(live_since) = self.live_since else { return false };
        let hold_down = (BASE_HOLD_DOWN * self.recent_departures(now).exp2()).min(MAX_HOLD_DOWN);
        self.departures == 0.0 || now - live_since >= hold_down
    }
}

/// Which nodes may hold slices, and how many slices may be handed over now.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    weights: BTreeMap<NodeId, f64>,
    histories: BTreeMap<NodeId, FlapHistory>,
    draining: BTreeMap<NodeId, bool>,
    /// Handovers that may take place now.
    handover_tokens: f64,
    refilled_at: Seconds,
}

impl Placement {
    /// `weights`: what the nodes of the settings can bear relative to each other.
    pub fn new(weights: BTreeMap<NodeId, f64>) -> Placement {
        Placement { weights, ..Placement::default() }
    }

    /// Adds a node that the settings do not name, with weight 1.
    pub fn add_node(&mut self, id: NodeId) {
        self.weights.entry(id).or_insert(1.0);
    }

    /// Whether membership holds a node live and able to hold slices.
    pub fn update_liveness(&mut self, now: Seconds, id: NodeId, is_live: bool) {
        self.histories.entry(id).or_default().update_liveness(now, is_live);
    }

    /// A draining node is not eligible: its slices are handed over.
    pub fn set_draining(&mut self, id: NodeId, draining: bool) {
        self.draining.insert(id, draining);
    }

    /// The nodes that slices belong to, with their weights: all that live, do not drain and are not held down. If all
    /// that live are held down, they are eligible all the same.
    pub fn eligible_nodes(&self, now: Seconds) -> BTreeMap<NodeId, f64> {
        let stable = self.nodes_with(|history| history.is_stable(now));
        if stable.is_empty() {
            self.nodes_with(|history| history.live_since.is_some())
        } else {
            stable
        }
    }

    /// The nodes that do not drain and whose history satisfies the predicate.
    fn nodes_with(&self, predicate: impl Fn(&FlapHistory) -> bool) -> BTreeMap<NodeId, f64> {
        let mut nodes = BTreeMap::new();
        for (id, weight) in &self.weights {
            let is_draining = self.draining.get(id).copied().unwrap_or(false);
            if !is_draining && self.histories.get(id).is_some_and(&predicate) {
                nodes.insert(*id, *weight);
            }
        }
        nodes
    }

    /// Whether one more slice may be handed over now; counts it if so.
    pub fn take_handover_permit(&mut self, now: Seconds) -> bool {
        let refill = (now - self.refilled_at).max(0.0) * HANDOVERS_PER_SECOND;
        self.refilled_at = self.refilled_at.max(now);
        self.handover_tokens =
            (self.handover_tokens + refill).min(HANDOVERS_PER_SECOND * HANDOVER_BURST_WINDOW);
        let permitted = self.handover_tokens >= 1.0;
        if permitted {
            self.handover_tokens -= 1.0;
        }
        permitted
    }
}

#[cfg(test)]
mod tests;
