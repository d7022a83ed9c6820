//! Exclusion: hosts that proxies must not send to, whatever their tables name.
//!
//! A host that is not usable and owns no slice, but that a published table still names, is excluded by one line per
//! proxy instead of one line per table. So the proxies react to the loss of many hosts or to a drain before the channel
//! has transferred all tables; until then the standbys serve. A host is readmitted once it is usable, owns a slice, or
//! has been gone for long enough to be forgotten and no table names it. Hosts are not excluded if slices have a single
//! owner.
//!
//! A proxy excludes hosts until it is told otherwise, also while it is disconnected and after its controller has
//! restarted. So what a proxy that connects may exclude depends on its past:
//! - *new*: it excludes nothing, and lacks the exclusions published so far;
//! - *returning*: it may have missed lines, so every published state is unconfirmed and is published again;
//! - *unknown*: it returns, but not to this process, or it was away while this process forgot a host. It may exclude any
//!   host, listed or not, so each host is unconfirmed until this process has published its state.
use super::host::Host;
use super::slice::Slices;
use crate::interface::{HostId, ProxyId, Seconds, UndeliveredExclusion};
use std::collections::{BTreeMap, BTreeSet};

/// Seconds until an exclusion or readmission that was not delivered is published again: a channel that refuses it each
/// time must not use up the message quota.
const REDELIVERY_INTERVAL: Seconds = 5.0;

/// The state of a host as published to the proxies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ExclusionState {
    /// Proxies must not send to the host.
    Excluded,
    /// Proxies may send to the host.
    #[default]
    Admitted,
    /// Some proxies may not have received the last published state.
    Unconfirmed,
}

/// A change that has to be published.
#[derive(Clone, Copy)]
pub struct ExclusionChange {
    pub host: HostId,
    pub is_excluded: bool,
    /// The published state was unconfirmed: some proxies may have the change already.
    pub is_repeated: bool,
}

/// A change that was not delivered.
struct Redelivery {
    is_excluded: bool,
    /// When it is published again, if it is due still.
    due_at: Seconds,
}

/// The exclusions as published to the proxies.
#[derive(Default)]
pub struct Exclusions {
    published: BTreeMap<HostId, ExclusionState>,
    /// The state of every host that `published` does not contain: admitted, or unconfirmed once an unknown proxy has
    /// connected.
    others: ExclusionState,
    /// Proxies that exclude no hosts but those of `published` and `forgotten`.
    known_proxies: BTreeSet<ProxyId>,
    /// Hosts that were readmitted and are not listed any more, and when they were forgotten. They are removed from here
    /// once all connected proxies have acknowledged the readmission.
    forgotten: BTreeMap<HostId, Seconds>,
    /// Hosts whose last change was not delivered.
    undelivered: BTreeMap<HostId, Redelivery>,
}

impl Exclusions {
    /// A proxy connected that holds nothing: the published exclusions are unconfirmed, as it lacks them.
    pub fn on_new_proxy(&mut self, proxy: ProxyId) {
        self.known_proxies.insert(proxy);
        for state in self.published.values_mut().filter(|state| **state == ExclusionState::Excluded) {
            *state = ExclusionState::Unconfirmed;
        }
    }

    /// A proxy connected that holds what it received before, and may have missed changes since: all published states are
    /// unconfirmed, and those of all hosts if the proxy is unknown.
    pub fn on_returning_proxy(&mut self, proxy: ProxyId) {
        if !self.known_proxies.contains(&proxy) {
            self.others = ExclusionState::Unconfirmed;
        }
        self.mark_unconfirmed();
    }

    /// A connected proxy has not acknowledged an update with exclusions or readmissions in time: it may not have
    /// received them.
    pub fn on_update_expired(&mut self) {
        self.mark_unconfirmed();
    }

    /// A change was not delivered to some proxy.
    pub fn on_undelivered(&mut self, now: Seconds, undelivered: UndeliveredExclusion) {
        let UndeliveredExclusion { host, is_excluded } = undelivered;
        self.published.insert(host, ExclusionState::Unconfirmed);
        self.undelivered.insert(host, Redelivery { is_excluded, due_at: now + REDELIVERY_INTERVAL });
    }

    /// Marks the published states as unconfirmed: a proxy may have missed any of them. If that includes the readmission
    /// of a forgotten host, which has no state of its own, the states of all hosts are unconfirmed.
    fn mark_unconfirmed(&mut self) {
        self.published.values_mut().for_each(|state| *state = ExclusionState::Unconfirmed);
        if !self.forgotten.is_empty() {
            self.others = ExclusionState::Unconfirmed;
            self.forgotten.clear();
        }
    }

    /// Records a change that is published now.
    pub fn apply(&mut self, change: ExclusionChange) {
        let state = if change.is_excluded { ExclusionState::Excluded } else { ExclusionState::Admitted };
        self.published.insert(change.host, state);
        self.undelivered.remove(&change.host);
    }

    /// Whether a host may be forgotten: no proxy needs to be told that it is readmitted, or the readmission cannot be
    /// delivered.
    pub fn may_forget(&self, host: HostId) -> bool {
        let is_admitted = |state: &ExclusionState| *state == ExclusionState::Admitted;
        self.published.get(&host).is_none_or(is_admitted) || self.undelivered.contains_key(&host)
    }

    /// Removes the states of readmitted hosts that are not known any more. Where the readmission was not delivered, the
    /// states of all hosts without one are unconfirmed.
    pub fn forget_unknown_hosts(&mut self, now: Seconds, hosts: &BTreeMap<HostId, Host>) {
        for (host, _) in self.undelivered.extract_if(.., |host, _| !hosts.contains_key(host)) {
            self.published.remove(&host);
            self.others = ExclusionState::Unconfirmed;
        }
        let is_obsolete = |host: &HostId, state: &mut ExclusionState| {
            *state == ExclusionState::Admitted && !hosts.contains_key(host)
        };
        let obsolete = self.published.extract_if(.., is_obsolete);
        self.forgotten.extend(obsolete.map(|(host, _)| (host, now)));
        if self.others == ExclusionState::Unconfirmed {
            self.forgotten.clear();
        }
    }

    /// Removes the forgotten hosts whose readmission all connected proxies have acknowledged. Other proxies may have
    /// missed it and are unknown from now on. `unacknowledged_since`: when the oldest update was sent that a connected
    /// proxy has not acknowledged.
    pub fn apply_acknowledged(
        &mut self,
        unacknowledged_since: Option<Seconds>,
        connected: &BTreeSet<ProxyId>,
    ) {
        let is_acknowledged = |at: Seconds| unacknowledged_since.is_none_or(|since| since > at);
        if self.forgotten.extract_if(.., |_, at| is_acknowledged(*at)).count() > 0 {
            self.known_proxies.retain(|proxy| connected.contains(proxy));
        }
    }

    /// Returns the changes that have to be published: the exclusions first, each kind ordered by host.
    pub fn due_changes(
        &self,
        now: Seconds,
        hosts: &BTreeMap<HostId, Host>,
        slices: &Slices,
        single_owner: bool,
    ) -> Vec<ExclusionChange> {
        let conditions = ExclusionConditions::new(now, hosts, slices, single_owner);
        let excluded = conditions.published_hosts.iter().filter(|id| conditions.must_exclude(id));
        let known_hosts = self.published.keys().chain(hosts.keys().filter(|id| conditions.is_current(id)));
        let readmitted: BTreeSet<&HostId> = known_hosts.filter(|id| !conditions.must_exclude(id)).collect();
        let mut changes = Vec::new();
        changes.extend(excluded.filter_map(|id| self.change_to(*id, ExclusionState::Excluded)));
        changes.extend(readmitted.into_iter().filter_map(|id| self.change_to(*id, ExclusionState::Admitted)));
        changes.retain(|change| !self.awaits_redelivery(now, change));
        changes
    }

    /// Whether a change was not delivered and must not be published again yet. The opposite change need not wait.
    fn awaits_redelivery(&self, now: Seconds, change: &ExclusionChange) -> bool {
        let redelivery = self.undelivered.get(&change.host);
        redelivery
            .is_some_and(|redelivery| redelivery.is_excluded == change.is_excluded && now < redelivery.due_at)
    }

    /// The change to the desired state of a host; `None` if that is already published.
    fn change_to(&self, host: HostId, desired: ExclusionState) -> Option<ExclusionChange> {
        let published = self.published.get(&host).copied().unwrap_or(self.others);
        (published != desired).then(|| ExclusionChange {
            host,
            is_excluded: desired == ExclusionState::Excluded,
            is_repeated: published == ExclusionState::Unconfirmed,
        })
    }

    /// The published states, for tests to change.
    #[cfg(test)]
    pub fn published(&mut self) -> &mut BTreeMap<HostId, ExclusionState> {
        &mut self.published
    }
}

/// What decides whether a host is excluded.
struct ExclusionConditions<'a> {
    now: Seconds,
    hosts: &'a BTreeMap<HostId, Host>,
    owners: BTreeSet<HostId>,
    /// Hosts that published tables name.
    published_hosts: BTreeSet<HostId>,
    single_owner: bool,
}

impl<'a> ExclusionConditions<'a> {
    fn new(
        now: Seconds,
        hosts: &'a BTreeMap<HostId, Host>,
        slices: &Slices,
        single_owner: bool,
    ) -> ExclusionConditions<'a> {
        let published = slices.values().flat_map(|slice| &slice.published);
        ExclusionConditions {
            now,
            hosts,
            owners: slices.values().filter_map(|slice| slice.owner).collect(),
            published_hosts: published.map(|entry| entry.host).collect(),
            single_owner,
        }
    }

    /// Whether a host is known and cannot be forgotten yet.
    fn is_current(&self, id: &HostId) -> bool {
        self.hosts.get(id).is_some_and(|host| !host.is_expired(self.now))
    }

    /// Whether proxies must not send to a host.
    fn must_exclude(&self, id: &HostId) -> bool {
        let is_usable = self.hosts.get(id).is_some_and(Host::is_usable);
        let may_be_forgotten = !self.is_current(id) && !self.published_hosts.contains(id);
        !self.single_owner && !is_usable && !self.owners.contains(id) && !may_be_forgotten
    }
}
