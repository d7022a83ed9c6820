//! The routing state that a proxy has received from several controllers, fenced by epochs: each slice is routed with
//! the state of its owner, the controller that sent the newest accepted epoch of the slice.
use crate::routing::{Admission, BalancingPolicy, DeltaError, RoutingState, Table};
use railhub_proto::Delta;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The routing state received from each controller, and the owner of each slice. The admission and the exclusions that
/// apply to an operation are those of the owner of its slice.
#[derive(Clone, Debug, Default)]
pub struct FencedRouting {
    controllers: Vec<RoutingState>,
    /// The newest accepted epoch of each slice, and the number of the controller that sent it.
    owners: BTreeMap<u32, (u64, usize)>,
}

impl FencedRouting {
    /// Creates a state with initial tables, which belong to controller 0.
    pub fn with_tables(tables: BTreeMap<u32, Table>, controllers: usize) -> FencedRouting {
        let mut states = vec![RoutingState::default(); controllers.max(1)];
        states[0] = RoutingState::with_tables(tables);
        FencedRouting { controllers: states, owners: BTreeMap::new() }
    }

    /// The routing state received from a controller.
    ///
    /// # Panics
    /// If there is no controller with this number.
    pub fn controller(&self, number: usize) -> &RoutingState {
        &self.controllers[number]
    }

    /// The routing state received from a controller, mutable.
    ///
    /// # Panics
    /// If there is no controller with this number.
    pub fn controller_mut(&mut self, number: usize) -> &mut RoutingState {
        &mut self.controllers[number]
    }

    /// The routing state of a slice's owner; controller 0 owns a slice until an epoch of it is accepted.
    fn owner(&self, slice: u32) -> &RoutingState {
        &self.controllers[self.owners.get(&slice).map_or(0, |owner| owner.1)]
    }

    /// Applies a delta, except for the lines and clearings of its stale slices, and returns the stale slices. A slice
    /// is stale if a newer epoch of it, or the same epoch from another controller, was accepted before. On an error,
    /// nothing is applied. If `fenced` is false, no slice is stale.
    ///
    /// # Errors
    /// The first part of the delta that is invalid.
    ///
    /// # Panics
    /// If there is no controller with this number.
    pub fn apply(&mut self, controller: usize, delta: &Delta, fenced: bool) -> Result<Vec<u32>, DeltaError> {
        let epochs: BTreeMap<u32, u64> =
            delta.epochs.iter().map(|assignment| (assignment.slice, assignment.epoch)).collect();
        let stale = if fenced { self.stale_slices(controller, delta, &epochs) } else { BTreeSet::new() };
        if stale.is_empty() {
            self.controllers[controller].apply(delta)?;
        } else {
            let mut current_part = delta.clone();
            current_part.lines.retain(|line| !stale.contains(&line.slice));
            current_part.cleared.retain(|slice| !stale.contains(slice));
            self.controllers[controller].apply(&current_part)?;
        }
        for (slice, epoch) in epochs {
            if !stale.contains(&slice) {
                self.owners.insert(slice, (epoch, controller));
            }
        }
        Ok(stale.into_iter().collect())
    }

    /// The stale slices among those that have lines or clearings in a delta.
    fn stale_slices(&self, controller: usize, delta: &Delta, epochs: &BTreeMap<u32, u64>) -> BTreeSet<u32> {
        let updated_slices = delta.lines.iter().map(|line| line.slice).chain(delta.cleared.iter().copied());
        let is_stale = |slice: &u32| {
            let epoch = epochs.get(slice).copied().unwrap_or(0);
            self.owners.get(slice).is_some_and(|owner| (epoch, controller) != *owner && epoch <= owner.0)
        };
        updated_slices.filter(is_stale).collect()
    }

    /// The admission that the owner of a slice has set for a class.
    pub fn admission(&self, slice: u32, class: u32) -> Admission {
        self.owner(slice).admission(class)
    }

    /// Picks a host with [`RoutingState::pick`] from the state of the slice's owner.
    pub fn pick(
        &self,
        slice: u32,
        attempted_hosts: &[SocketAddr],
        policy: BalancingPolicy,
        rng: &mut impl Rng,
        outstanding: impl Fn(SocketAddr) -> usize,
    ) -> Option<SocketAddr> {
        self.owner(slice).pick(slice, attempted_hosts, policy, rng, outstanding)
    }
}

#[cfg(test)]
mod tests;
