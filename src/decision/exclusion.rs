//! Exclusion: hosts that proxies must not send to, whatever their tables name.
//!
//! A host that is not usable and owns no slice, but that some published table still names, is excluded by one line to
//! each proxy, in place of a line for each table: a great loss or a drain is answered before the channel could carry the
//! tables, and standbys serve until it has. It is readmitted once it is usable, owns a slice, or has been gone for long
//! enough to be forgotten and no table names it. Hosts are not excluded where a slice has a single owner.
//!
//! A proxy that connects may have missed lines, so every state is unconfirmed then and is published again.
use super::host::Host;
use super::slice::Slices;
use crate::interface::{HostId, Seconds};
use std::collections::{BTreeMap, BTreeSet};

/// What the proxies know of a host that was ever excluded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExclusionState {
    Excluded,
    Admitted,
    /// Some proxy may not know.
    Unconfirmed,
}

/// A change that is due.
#[derive(Clone, Copy)]
pub struct ExclusionChange {
    pub host: HostId,
    pub is_excluded: bool,
}

/// The exclusions, as published.
#[derive(Default)]
pub struct Exclusions {
    published: BTreeMap<HostId, ExclusionState>,
}

impl Exclusions {
    /// A proxy connected: it may have missed what was published.
    pub fn on_proxy_connected(&mut self) {
        self.published.values_mut().for_each(|state| *state = ExclusionState::Unconfirmed);
    }

    /// This controller has restarted and does not know whom it had excluded.
    pub fn on_controller_restarted(&mut self, hosts: impl Iterator<Item = HostId>) {
        self.published.extend(hosts.map(|host| (host, ExclusionState::Unconfirmed)));
    }

    /// What is published from now on.
    pub fn apply(&mut self, change: ExclusionChange) {
        let state = if change.is_excluded { ExclusionState::Excluded } else { ExclusionState::Admitted };
        self.published.insert(change.host, state);
    }

    /// Drops a host unless proxies may still exclude it; whether it is dropped.
    pub fn forget(&mut self, host: HostId) -> bool {
        let is_admitted = self.published.get(&host).is_none_or(|state| *state == ExclusionState::Admitted);
        if is_admitted {
            self.published.remove(&host);
        }
        is_admitted
    }

    /// Changes that are due, in the order of the hosts.
    pub fn due_changes(
        &self,
        now: Seconds,
        hosts: &BTreeMap<HostId, Host>,
        slices: &Slices,
        single_owner: bool,
    ) -> Vec<ExclusionChange> {
        let owners: BTreeSet<HostId> = slices.values().filter_map(|slice| slice.owner).collect();
        let named: BTreeSet<HostId> =
            slices.values().flat_map(|slice| slice.published.iter().map(|entry| entry.host)).collect();
        let must_exclude = |id: &HostId| {
            let host = hosts.get(id);
            let is_usable = host.is_some_and(Host::is_usable);
            let may_be_forgotten = host.is_none_or(|host| host.is_expired(now)) && !named.contains(id);
            !single_owner && !is_usable && !owners.contains(id) && !may_be_forgotten
        };
        let mut candidates: BTreeSet<HostId> = named.iter().copied().filter(&must_exclude).collect();
        candidates.extend(self.published.keys().copied().filter(|host| !must_exclude(host)));
        let mut changes = Vec::new();
        for host in candidates {
            let is_excluded = must_exclude(&host);
            let wanted = if is_excluded { ExclusionState::Excluded } else { ExclusionState::Admitted };
            if self.published.get(&host) != Some(&wanted) {
                changes.push(ExclusionChange { host, is_excluded });
            }
        }
        changes
    }

    /// What the proxies know, for tests to set.
    #[cfg(test)]
    pub fn published(&mut self) -> &mut BTreeMap<HostId, ExclusionState> {
        &mut self.published
    }
}
