//! The hosts that discovery lists, and where each is reached for health checks.
use crate::endpoints::EndpointPage;
use railhub::{EndpointList, HostId, Phase, Seconds};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Seconds without a newer page after which a complete list under a lower generation counts: discovery began anew, and
/// its generations with it. Whatever discovery has to send counts as sent by then.
const GENERATION_RESET_TIMEOUT: Seconds = 6.0;

/// A health check of a host as the list had it when the check was decided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthCheck {
    /// The host.
    pub host: HostId,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its last start, in seconds of Unix time; unknown if long ago.
    started_at: Option<Seconds>,
}

/// Where a host is, and since when it runs.
#[derive(Clone, Copy, Debug, PartialEq)]
struct HostInstance {
    address: SocketAddr,
    started_at: Option<Seconds>,
}

/// The hosts that are listed.
#[derive(Debug, Default)]
pub(crate) struct HostDirectory {
    generation: u64,
    updated_at: Seconds,
    hosts: BTreeMap<HostId, HostInstance>,
}

impl HostDirectory {
    /// The generation of the newest page without invalid entries.
    pub(crate) fn generation(&self) -> u64 {
        self.generation
    }

    /// How many hosts are listed.
    pub(crate) fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Applies a page. Returns whether it is new: an older page, or changes under the known generation, are ignored.
    pub(crate) fn apply_page(&mut self, now: Seconds, page: &EndpointPage) -> bool {
        let discovery_restarted = page.complete && now - self.updated_at >= GENERATION_RESET_TIMEOUT;
        let is_outdated = page.generation < self.generation && !discovery_restarted;
        let is_known = page.generation == self.generation && !page.complete;
        if is_outdated || is_known {
            return false;
        }
        self.updated_at = now;
        // A page with invalid entries is sent again under the same generation.
        if page.invalid.is_empty() {
            self.generation = page.generation;
        }
        if page.complete {
            self.hosts.clear();
        }
        for entry in &page.entries {
            let endpoint = &entry.endpoint;
            if endpoint.phase == Phase::Gone {
                self.hosts.remove(&endpoint.host);
            } else {
                let instance = HostInstance { address: entry.address, started_at: endpoint.started_at };
                self.hosts.insert(endpoint.host, instance);
            }
        }
        true
    }

    /// A health check of a host, if it is listed.
    pub(crate) fn health_check(&self, host: HostId) -> Option<HealthCheck> {
        let HostInstance { address, started_at } = *self.hosts.get(&host)?;
        Some(HealthCheck { host, address, started_at })
    }

    /// Whether the host is still where it was checked and has not started anew.
    pub(crate) fn is_current(&self, health_check: &HealthCheck) -> bool {
        self.health_check(health_check.host) == Some(*health_check)
    }
}

/// Merges a list into those that wait for the next batch, which become one: a complete list replaces what came before,
/// changes replace the entries that they are about. So it holds each host once, however long the batch is put off.
pub(crate) fn merge_list(waiting: &mut Vec<EndpointList>, newer: EndpointList) {
    match waiting.last_mut() {
        Some(list) if !newer.complete => merge_changes(list, newer),
        _ => *waiting = vec![newer],
    }
}

fn merge_changes(list: &mut EndpointList, changes: EndpointList) {
    let changed: BTreeSet<HostId> = changes.entries.iter().map(|entry| entry.host).collect();
    list.entries.retain(|entry| !changed.contains(&entry.host));
    for entry in changes.entries {
        // A complete list shows a host that is gone by lacking it.
        if !(list.complete && entry.phase == Phase::Gone) {
            list.entries.push(entry);
        }
    }
}
