//! What a proxy was sent by several controllers, fenced by epochs: a slice is routed by the controller whose epoch is
//! the newest that the proxy accepted.
use crate::routing::{Admission, BalancingPolicy, DeltaError, RoutingState, Table};
use railhub_proto::Delta;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The state of each controller, and the owner of each slice. Admission and exclusions are those of the owner of the
/// operation's slice.
#[derive(Clone, Debug, Default)]
pub struct FencedRouting {
    controllers: Vec<RoutingState>,
    /// The newest accepted epoch of a slice, and the controller's number.
    owners: BTreeMap<u32, (u64, usize)>,
}

impl FencedRouting {
    /// Starts with tables in place, which count as the first controller's.
    pub fn with_tables(tables: BTreeMap<u32, Table>, controllers: usize) -> FencedRouting {
        let mut states = vec![RoutingState::default(); controllers.max(1)];
        states[0] = RoutingState::with_tables(tables);
        FencedRouting { controllers: states, owners: BTreeMap::new() }
    }

    /// The state that a controller sent.
    ///
    /// # Panics
    /// If there is no controller of this number.
    pub fn controller(&self, number: usize) -> &RoutingState {
        &self.controllers[number]
    }

    /// The state that a controller sent.
    ///
    /// # Panics
    /// If there is no controller of this number.
    pub fn controller_mut(&mut self, number: usize) -> &mut RoutingState {
        &mut self.controllers[number]
    }

    fn owner(&self, slice: u32) -> &RoutingState {
        &self.controllers[self.owners.get(&slice).map_or(0, |owner| owner.1)]
    }

    /// Applies all of a delta except for its stale slices, for which a newer epoch was accepted, and returns these; on
    /// an error applies nothing. Without `fenced` no slice is stale.
    ///
    /// # Errors
    /// The first part of the delta that is invalid.
    ///
    /// # Panics
    /// If there is no controller of this number.
    pub fn apply(&mut self, controller: usize, delta: &Delta, fenced: bool) -> Result<Vec<u32>, DeltaError> {
        let epochs: BTreeMap<u32, u64> =
            delta.epochs.iter().map(|assignment| (assignment.slice, assignment.epoch)).collect();
        let stale = if fenced { self.stale_slices(controller, delta, &epochs) } else { BTreeSet::new() };
        if stale.is_empty() {
            self.controllers[controller].apply(delta)?;
        } else {
            let mut current = delta.clone();
            current.lines.retain(|line| !stale.contains(&line.slice));
            current.cleared.retain(|slice| !stale.contains(slice));
            self.controllers[controller].apply(&current)?;
        }
        for (slice, epoch) in epochs {
            if !stale.contains(&slice) {
                self.owners.insert(slice, (epoch, controller));
            }
        }
        Ok(stale.into_iter().collect())
    }

    /// The slices with lines or clearings in a delta that are stale.
    fn stale_slices(&self, controller: usize, delta: &Delta, epochs: &BTreeMap<u32, u64>) -> BTreeSet<u32> {
        let named = delta.lines.iter().map(|line| line.slice).chain(delta.cleared.iter().copied());
        let is_stale = |slice: &u32| {
            let epoch = epochs.get(slice).copied().unwrap_or(0);
            self.owners.get(slice).is_some_and(|owner| (epoch, controller) != *owner && epoch <= owner.0)
        };
        named.filter(is_stale).collect()
    }

    /// The admission of a class by the owner of a slice.
    pub fn admission(&self, slice: u32, class: u32) -> Admission {
        self.owner(slice).admission(class)
    }

    /// As [`RoutingState::pick`], by the owner of the slice.
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
