//! Whose a slice should be: weighted rendezvous over the stewards that live, so that a steward that comes or goes
//! moves its own slices and no others; and how fast that is followed, so that nobody is flooded and nothing goes
//! to and fro.
use crate::{NodeId, Seconds};
use std::collections::BTreeMap;

/// Handovers of slices that nobody must have at once, a second: a planned change is in no hurry, and each
/// handover costs the heir a look at the store and the proxies a delta.
const HANDOVER_RATE: f64 = 40.0;
/// Seconds of handovers that may be saved up.
const HANDOVER_BURST: Seconds = 0.5;
/// Seconds a steward must have lived before slices go back to it, times two for each time that it went away of
/// late, and the most that this may come to.
const HOLD_DOWN: Seconds = 4.0;
const MAX_HOLD_DOWN: Seconds = 120.0;
/// Seconds after which one going away is forgotten.
const FLAP_DECAY_TIME: Seconds = 60.0;

/// The steward that a slice falls to; weights are what stewards can bear relative to each other.
pub fn rendezvous_owner(slice: u16, stewards: &BTreeMap<NodeId, f64>) -> Option<NodeId> {
    let score = |id: &NodeId, weight: f64| -weight.max(1e-6) / unit(slice, *id).ln();
    let best = stewards.iter().max_by(|a, b| score(a.0, *a.1).total_cmp(&score(b.0, *b.1)));
    best.map(|(id, _)| *id)
}

/// A number between 0 and 1 that depends on slice and steward alone.
fn unit(slice: u16, steward: NodeId) -> f64 {
    let mut bits = (u64::from(steward.0) << 32 | u64::from(slice)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^= bits >> 31;
    ((bits >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// How often a steward went away, decaying.
#[derive(Clone, Copy, Debug, Default)]
struct FlapHistory {
    up_since: Option<Seconds>,
    went: f64,
    went_at: Seconds,
}

impl FlapHistory {
    fn went_by(&self, now: Seconds) -> f64 {
        self.went * (-(now - self.went_at).max(0.0) / FLAP_DECAY_TIME).exp()
    }

    fn trusted(&self, now: Seconds) -> bool {
        let Some(since) = self.up_since else { return false };
        let wait = (HOLD_DOWN * (self.went_by(now)).exp2()).min(MAX_HOLD_DOWN);
        // One that was there when we started has no past: nothing is held against it.
        self.went == 0.0 || now - since >= wait
    }
}

/// Which stewards may have slices, and how many slices may change hands now.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    weights: BTreeMap<NodeId, f64>,
    past: BTreeMap<NodeId, FlapHistory>,
    draining: BTreeMap<NodeId, bool>,
    allowance: f64,
    counted_at: Seconds,
}

impl Placement {
    pub fn new(weights: BTreeMap<NodeId, f64>) -> Placement {
        Placement { weights, ..Placement::default() }
    }

    /// One that the file did not name bears as much as any other.
    pub fn meet(&mut self, id: NodeId) {
        self.weights.entry(id).or_insert(1.0);
    }

    /// What membership says of a steward.
    pub fn hear(&mut self, now: Seconds, id: NodeId, is_live: bool) {
        let past = self.past.entry(id).or_default();
        match (past.up_since, is_live) {
            (None, true) => past.up_since = Some(now),
            (Some(_), false) => {
                (past.went, past.went_at) = (past.went_by(now) + 1.0, now);
                past.up_since = None;
            }
            _ => {}
        }
    }

    /// It is to go: its slices are handed over in order.
    pub fn drain(&mut self, id: NodeId, draining: bool) {
        self.draining.insert(id, draining);
    }

    /// Those that slices fall to. If nobody has earned trust, all that live have to do.
    pub fn eligible_nodes(&self, now: Seconds) -> BTreeMap<NodeId, f64> {
        let is_live = |id: &NodeId| self.past.get(id).is_some_and(|past| past.up_since.is_some());
        let draining = |id: &NodeId| self.draining.get(id).copied().unwrap_or(false);
        let trusted = |id: &NodeId| self.past.get(id).is_some_and(|past| past.trusted(now));
        let of = |pass: &dyn Fn(&NodeId) -> bool| -> BTreeMap<NodeId, f64> {
            self.weights.iter().filter(|(id, _)| pass(id)).map(|(id, weight)| (*id, *weight)).collect()
        };
        let best = of(&|id| is_live(id) && trusted(id) && !draining(id));
        if best.is_empty() {
            of(&|id| is_live(id) && !draining(id))
        } else {
            best
        }
    }

    /// Whether one more slice may be handed over now; counts it if so.
    pub fn take_handover_permit(&mut self, now: Seconds) -> bool {
        let earned = (now - self.counted_at).max(0.0) * HANDOVER_RATE;
        self.counted_at = self.counted_at.max(now);
        self.allowance = (self.allowance + earned).min(HANDOVER_RATE * HANDOVER_BURST);
        let may = self.allowance >= 1.0;
        self.allowance -= f64::from(u8::from(may));
        may
    }
}

#[cfg(test)]
mod tests;
