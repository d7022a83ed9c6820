//! Exclusions of hosts while leases are expired because the store does not respond. No controller may publish the
//! tables of expired slices, so they stay unchanged. A host that the endpoint list reports as draining or gone must
//! still get no operations, so each controller excludes it on its own. An exclusion has no slice and no epoch: a proxy
//! applies it to the slices that it has from this controller and from no later holder. Does no I/O and reads no clock.
//!
//! Owns the tables of the expired slices, the phases of hosts, and the set of hosts that are excluded for this reason.
use railhub::{EndpointList, HostId, Phase, SliceId};
use std::collections::{BTreeMap, BTreeSet};

/// Slices whose leases have expired, and the exclusions that this requires.
#[derive(Clone, Debug, Default)]
pub struct ExpiredSlices {
    /// The expired slices with the hosts of their tables.
    slices: BTreeMap<SliceId, Vec<HostId>>,
    phases: BTreeMap<HostId, Phase>,
    /// Hosts that are excluded because of expired slices.
    excluded: BTreeSet<HostId>,
}

impl ExpiredSlices {
    /// Applies an update of the endpoint list. A host that is missing from a complete list is gone.
    pub fn on_endpoint_list(&mut self, list: &EndpointList) {
        if list.complete {
            for phase in self.phases.values_mut() {
                *phase = Phase::Gone;
            }
        }
        self.phases.extend(list.entries.iter().map(|entry| (entry.host, entry.phase)));
    }

    /// Adds a slice whose lease has expired and whose next holder is not known, with the hosts of its table.
    pub fn add(&mut self, slice: SliceId, hosts: Vec<HostId>) {
        self.slices.insert(slice, hosts);
    }

    /// Removes a slice that is under lease again, here or at another controller.
    pub fn remove(&mut self, slice: SliceId) {
        self.slices.remove(&slice);
    }

    /// Returns the exclusions to publish: `true` excludes a host, `false` readmits it. Hosts in `by_decisions`, which
    /// the decision engine has excluded, are omitted. `exclude_gone`: hosts that are gone from the list must get no
    /// operations.
    pub fn update_exclusions(
        &mut self,
        exclude_gone: bool,
        by_decisions: &BTreeSet<HostId>,
    ) -> BTreeMap<HostId, bool> {
        let required = self.required_exclusions(exclude_gone);
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

    /// Whether a host is excluded because of expired slices, so that the decision engine's readmission must wait.
    pub fn excludes(&self, host: &HostId) -> bool {
        self.excluded.contains(host)
    }

    /// Hosts to exclude. An excluded host stays excluded while it requires exclusion. Another host is added only if each
    /// table that contains it keeps a host that is neither excluded nor gone.
    fn required_exclusions(&self, exclude_gone: bool) -> BTreeSet<HostId> {
        let listed_hosts: BTreeSet<HostId> = self.slices.values().flatten().copied().collect();
        let requires_exclusion = |host: &HostId| self.requires_exclusion(host, exclude_gone);
        let mut required: BTreeSet<HostId> = self.excluded.iter().copied().collect();
        required.retain(|host| requires_exclusion(host) && listed_hosts.contains(host));
        for host in listed_hosts.iter().filter(|host| requires_exclusion(host)) {
            let mut tables = self.slices.values().filter(|table| table.contains(host));
            if tables.all(|table| self.has_other_host(table, host, &required)) {
                required.insert(*host);
            }
        }
        required
    }

    fn requires_exclusion(&self, host: &HostId, exclude_gone: bool) -> bool {
        match self.phases.get(host) {
            Some(Phase::Draining) => true,
            Some(Phase::Gone) => exclude_gone,
            _ => false,
        }
    }

    /// Whether a table has another host that is neither excluded nor gone.
    fn has_other_host(&self, table: &[HostId], host: &HostId, excluded: &BTreeSet<HostId>) -> bool {
        let is_gone = |other: &HostId| self.phases.get(other) == Some(&Phase::Gone);
        table.iter().any(|other| other != host && !excluded.contains(other) && !is_gone(other))
    }
}

#[cfg(test)]
mod tests;
