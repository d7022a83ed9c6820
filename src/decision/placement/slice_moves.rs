//! The state that the placement rules read, and the only operation by which they change it.
use crate::decision::host::Host;
use crate::decision::load_estimate::HostLoads;
use crate::decision::slice::Slices;
use crate::interface::{ControllerConfig, HostId, Seconds, SliceId};
use std::collections::BTreeMap;

/// Seconds for which a moved slice is not moved again, until reports show the effect of the move.
const MOVE_COOLDOWN: Seconds = 6.0;
/// Demand of a slice, as a multiple of its current demand, at a host that has none of its keys cached.
pub const COLD_CACHE_DEMAND_MULTIPLE: f64 = 1.5;

/// The state that one evaluation of placement reads and moves slices in.
pub struct SliceMoves<'a> {
    pub now: Seconds,
    pub config: &'a ControllerConfig,
    pub hosts: &'a mut BTreeMap<HostId, Host>,
    pub slices: &'a mut Slices,
    pub loads: &'a mut HostLoads,
    /// Admitted fraction of the operations, by class.
    pub admission_rates: &'a [f64],
    /// The host that is ejected: no slice moves there.
    pub ejected: Option<HostId>,
}

impl SliceMoves<'_> {
    /// Admitted operations per second of a slice.
    pub fn rate(&self, slice: SliceId) -> f64 {
        self.slices[&slice].admitted_rate(self.admission_rates)
    }

    /// The slices that a host owns, the one with the highest rate first.
    pub fn slices_by_rate(&self, host: HostId) -> Vec<SliceId> {
        let owned = self.slices.iter().filter(|(_, slice)| slice.owner == Some(host));
        let mut rates: Vec<(f64, SliceId)> = owned.map(|(id, _)| (self.rate(*id), *id)).collect();
        rates.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        rates.into_iter().map(|(_, id)| id).collect()
    }

    /// Moves a slice to another owner, and its demand with it.
    pub fn move_slice(&mut self, id: SliceId, to: Option<HostId>) {
        let rate = self.rate(id);
        let slice = self.slices.get_mut(&id).expect("the slice is assigned");
        if let Some(load) = slice.owner.and_then(|owner| self.loads.get_mut(&owner)) {
            load.demand -= rate;
        }
        if let Some(load) = to.and_then(|host| self.loads.get_mut(&host)) {
            load.demand += rate;
        }
        slice.owner = to;
        slice.preferred_host = None;
        slice.pinned_until = self.now + MOVE_COOLDOWN;
    }
}
