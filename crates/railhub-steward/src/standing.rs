//! What is still said while nothing may be ordered: leases are over and the store is silent, so tables stand as they
//! are; but a host that the list calls draining or gone must be left all the same, by each steward alone. It is shut
//! out, which names no slice and no epoch: proxies go by it for the slices that they have from this steward and from
//! no later one. Decided from what stands and the list, nothing else; free of I/O and of clocks.
use railhub::{EndpointList, HostId, Phase, SliceId};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, Default)]
pub struct PublishedState {
    /// Slices whose leases are over, with the hosts of their tables.
    slices: BTreeMap<SliceId, Vec<HostId>>,
    phases: BTreeMap<HostId, Phase>,
    /// Hosts that are shut out on this account.
    ours: BTreeSet<HostId>,
}

impl PublishedState {
    /// The list, as the decisions hear it; hosts that it has dropped are gone.
    pub fn hear(&mut self, list: &EndpointList) {
        if list.complete {
            self.phases.values_mut().for_each(|phase| *phase = Phase::Gone);
        }
        self.phases.extend(list.entries.iter().map(|entry| (entry.host, entry.phase)));
    }

    /// The lease of a slice is over, and nobody has said whose it is now.
    pub fn stands(&mut self, slice: SliceId, hosts: Vec<HostId>) {
        self.slices.insert(slice, hosts);
    }

    /// It is in charge again, or another's.
    pub fn is_settled(&mut self, slice: SliceId) {
        self.slices.remove(&slice);
    }

    fn is_gone(&self, host: &HostId) -> bool {
        self.phases.get(host) == Some(&Phase::Gone)
    }

    /// Hosts to be left. Those that are shut out stay so; others follow as long as each table keeps one that is not.
    fn to_leave(&self, dropped_may_stay: bool) -> BTreeSet<HostId> {
        let goes = |host: &HostId| match self.phases.get(host) {
            Some(Phase::Draining) => true,
            Some(Phase::Gone) => !dropped_may_stay,
            _ => false,
        };
        let named: BTreeSet<HostId> = self.slices.values().flatten().copied().collect();
        let mut out: BTreeSet<HostId> =
            self.ours.iter().filter(|host| goes(host) && named.contains(host)).copied().collect();
        for host in named.into_iter().filter(goes) {
            let stays = |other: &HostId| *other != host && !out.contains(other) && !self.is_gone(other);
            let mut tables = self.slices.values().filter(|table| table.contains(&host));
            if tables.all(|table| table.iter().any(stays)) {
                out.insert(host);
            }
        }
        out
    }

    /// What is to be said now. `said`: whom the decisions have shut out themselves.
    pub fn words(&mut self, dropped_may_stay: bool, said: &BTreeSet<HostId>) -> BTreeMap<HostId, bool> {
        let wanted = self.to_leave(dropped_may_stay);
        let out = wanted.difference(&self.ours).filter(|host| !said.contains(host)).map(|host| (*host, true));
        let back =
            self.ours.difference(&wanted).filter(|host| !said.contains(host)).map(|host| (*host, false));
        let words = out.chain(back).collect();
        self.ours = wanted;
        words
    }

    /// Whether the decisions' word that lets a host in again must wait.
    pub fn holds(&self, host: &HostId) -> bool {
        self.ours.contains(host)
    }
}

#[cfg(test)]
mod tests;
