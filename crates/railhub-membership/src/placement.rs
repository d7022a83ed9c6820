//! Which node should hold a slice: weighted rendezvous hashing over the eligible nodes, so that a node that joins or
//! leaves moves only its own slices. Handovers are rate-limited, and a flapping node is held down.
use crate::{NodeId, Seconds};
use std::collections::BTreeMap;

/// Planned handovers of slices per second. Planned changes are not urgent, and each handover costs the new holder a
/// request to the store and the proxies an update.
const HANDOVERS_PER_SECOND: f64 = 40.0;
/// Seconds of unused handover rate that may be saved up for a burst.
const HANDOVER_BURST_WINDOW: Seconds = 0.5;
/// Seconds for which a node that went away must be live again before it is eligible; doubled for each recent departure.
const BASE_HOLD_DOWN: Seconds = 4.0;
/// Longest hold-down in seconds.
const MAX_HOLD_DOWN: Seconds = 120.0;
/// Time constant in seconds of the decaying count of departures: a departure counts for 1/e after it.
const FLAP_DECAY_TIME: Seconds = 60.0;
/// Smallest weight that is used for a node.
const MIN_WEIGHT: f64 = 1e-6;

/// The node to which weighted rendezvous hashing assigns a slice. Weights are the nodes' capacities relative to each
/// other.
pub fn rendezvous_owner(slice: u16, weights: &BTreeMap<NodeId, f64>) -> Option<NodeId> {
    let score = |id: &NodeId, weight: f64| -weight.max(MIN_WEIGHT) / unit_hash(slice, *id).ln();
    let best = weights.iter().max_by(|a, b| score(a.0, *a.1).total_cmp(&score(b.0, *b.1)));
    best.map(|(id, _)| *id)
}

/// A number between 0 and 1 that depends only on the slice and the node.
fn unit_hash(slice: u16, node: NodeId) -> f64 {
    let mut bits = (u64::from(node.0) << 32 | u64::from(slice)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^= bits >> 31;
    ((bits >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// A node's liveness and the decaying count of its departures.
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

    /// Whether the node is live and its hold-down is over. A node that has never gone away has no hold-down.
    fn is_stable(&self, now: Seconds) -> bool {
        let Some(live_since) = self.live_since else { return false };
        let hold_down = (BASE_HOLD_DOWN * self.recent_departures(now).exp2()).min(MAX_HOLD_DOWN);
        self.departures == 0.0 || now - live_since >= hold_down
    }
}

/// Tracks which nodes are eligible to hold slices, and limits the rate of handovers.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    weights: BTreeMap<NodeId, f64>,
    histories: BTreeMap<NodeId, FlapHistory>,
    draining: BTreeMap<NodeId, bool>,
    /// Handovers that are permitted now (token bucket).
    handover_tokens: f64,
    refilled_at: Seconds,
}

impl Placement {
    /// `weights`: capacities of the configured nodes relative to each other.
    pub fn new(weights: BTreeMap<NodeId, f64>) -> Placement {
        Placement { weights, ..Placement::default() }
    }

    /// Adds a node that is not configured, with weight 1.
    pub fn add_node(&mut self, id: NodeId) {
        self.weights.entry(id).or_insert(1.0);
    }

    /// Records whether membership considers a node live and able to hold slices.
    pub fn update_liveness(&mut self, now: Seconds, id: NodeId, is_live: bool) {
        self.histories.entry(id).or_default().update_liveness(now, is_live);
    }

    /// Records whether a node is draining. A draining node is not eligible, so its slices are handed over.
    pub fn set_draining(&mut self, id: NodeId, draining: bool) {
        self.draining.insert(id, draining);
    }

    /// The nodes to which slices may be assigned, with their weights: all that are live, not draining and not held
    /// down. If all live nodes are held down, they are eligible nevertheless.
    pub fn eligible_nodes(&self, now: Seconds) -> BTreeMap<NodeId, f64> {
        let stable = self.nodes_with(|history| history.is_stable(now));
        if stable.is_empty() {
            self.nodes_with(|history| history.live_since.is_some())
        } else {
            stable
        }
    }

    /// The nodes that are not draining and whose history satisfies the predicate.
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

    /// Takes the permit to hand over one more slice now, if one is available. Returns whether it was.
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
