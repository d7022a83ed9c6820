//! Exclusions for tables whose leases have expired: the store does not respond, so nobody may publish them and they
//! stand as they are; but a host that the endpoint list calls draining or gone must be left all the same, by each
//! controller alone. It is excluded, which names no slice and no epoch: proxies apply that to the slices that they have
//! from this controller and from no later holder. Free of I/O and of clocks.
//!
//! Owns the tables of the expired slices, the phases of hosts, and which hosts are excluded on this account.
use railhub::{EndpointList, HostId, Phase, SliceId};
use std::collections::{BTreeMap, BTreeSet};

/// Slices whose leases have expired, and what follows from that.
#[derive(Clone, Debug, Default)]
pub struct ExpiredSlices {
    /// The slices with the hosts of their tables.
    slices: BTreeMap<SliceId, Vec<HostId>>,
    phases: BTreeMap<HostId, Phase>,
    /// Hosts that are excluded on this account.
    excluded: BTreeSet<HostId>,
}

impl ExpiredSlices {
    /// Applies an update of the endpoint list. Hosts missing from a complete list are gone.
    pub fn on_endpoint_list(&mut self, list: &EndpointList) {
        if list.complete {
            for phase in self.phases.values_mut() {
                *phase = Phase::Gone;
            }
        }
        self.phases.extend(list.entries.iter().map(|entry| (entry.host, entry.phase)));
    }

    /// The lease of a slice has expired, and its next holder is not known.
    pub fn add(&mut self, slice: SliceId, hosts: Vec<HostId>) {
        self.slices.insert(slice, hosts);
    }

    /// The slice is under lease again, here or elsewhere.
    pub fn remove(&mut self, slice: SliceId) {
        self.slices.remove(&slice);
    }

    /// The exclusions to be published now: `true` excludes a host, `false` readmits it. Hosts that the decisions have
    /// excluded themselves are left to them. `binding_removal`: hosts that are gone from the list must be left.
    pub fn update_exclusions(
        &mut self,
        binding_removal: bool,
        by_decisions: &BTreeSet<HostId>,
    ) -> BTreeMap<HostId, bool> {
        let required = self.required_exclusions(binding_removal);
        let mut exclusions = BTreeMap::new();
        for host in required.difference(&self.excluded).filter(|host| !by_decisions.contains(host)) {
            exclusions.insert(*host, true);
        }
        for host in self.excluded.difference(&required).filter(|host| !by_decisions.contains(host)) {
            exclusions.insert(*host, false);
        }
        self.excluded = required;
        exclusions
    }

    /// Whether a host is excluded on this account, so that its readmission by the decisions must wait.
    pub fn excludes(&self, host: &HostId) -> bool {
        self.excluded.contains(host)
    }

    /// Hosts that are to be excluded. Those that are excluded stay so; others follow as long as each table keeps one
    /// that is not.
    fn required_exclusions(&self, binding_removal: bool) -> BTreeSet<HostId> {
        let named: BTreeSet<HostId> = self.slices.values().flatten().copied().collect();
        let leaves = |host: &HostId| self.must_be_left(host, binding_removal);
        let mut required: BTreeSet<HostId> = self.excluded.iter().copied().collect();
        required.retain(|host| leaves(host) && named.contains(host));
        for host in named.iter().filter(|host| leaves(host)) {
            let mut tables = self.slices.values().filter(|table| table.contains(host));
            if tables.all(|table| self.keeps_another(table, host, &required)) {
                required.insert(*host);
            }
        }
        required
    }

    fn must_be_left(&self, host: &HostId, binding_removal: bool) -> bool {
        match self.phases.get(host) {
            Some(Phase::Draining) => true,
            Some(Phase::Gone) => binding_removal,
            _ => false,
        }
    }

    /// Whether a table has a host besides this one that is neither excluded nor gone.
    fn keeps_another(&self, table: &[HostId], host: &HostId, excluded: &BTreeSet<HostId>) -> bool {
        let is_gone = |other: &HostId| self.phases.get(other) == Some(&Phase::Gone);
        table.iter().any(|other| other != host && !excluded.contains(other) && !is_gone(other))
    }
}

#[cfg(test)]
mod tests;
