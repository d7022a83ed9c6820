//! The hosts of the endpoint list, with their addresses for health checks.
use crate::endpoints::EndpointPage;
use railhub::{EndpointList, HostId, Phase, Seconds};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Time without a newer page after which a complete list with a lower generation is accepted: discovery has restarted,
/// and its generations with it. Every page that was sent before counts as received by then.
const GENERATION_RESET_TIMEOUT: Seconds = 6.0;

/// A health check of a host, as the endpoint list described the host when the check was decided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthCheck {
    /// The host.
    pub host: HostId,
    /// The address to check.
    pub address: SocketAddr,
    /// When the host last started, in seconds of Unix time; unknown if that is long ago.
    started_at: Option<Seconds>,
}

/// The address of a host and the time of its last start.
#[derive(Clone, Copy, Debug, PartialEq)]
struct HostInstance {
    address: SocketAddr,
    started_at: Option<Seconds>,
}

/// The listed hosts.
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

    /// Number of listed hosts.
    pub(crate) fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Applies a page. Returns whether it is new: an older page, or changes with the known generation, are ignored.
    pub(crate) fn apply_page(&mut self, now: Seconds, page: &EndpointPage) -> bool {
        let discovery_restarted = page.complete && now - self.updated_at >= GENERATION_RESET_TIMEOUT;
        let is_outdated = page.generation < self.generation && !discovery_restarted;
        let is_known = page.generation == self.generation && !page.complete;
        if is_outdated || is_known {
            return false;
        }
        self.updated_at = now;
        // A page with invalid entries is sent again with the same generation.
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

    /// Whether the host still has the checked address and has not restarted.
    pub(crate) fn is_current(&self, health_check: &HealthCheck) -> bool {
        self.health_check(health_check.host) == Some(*health_check)
    }
}

/// Merges a list into those pending for the next batch, which become one list: a complete list replaces the earlier
/// ones, changes replace the entries of the same hosts. So the list contains each host once, however long the batch is
/// delayed.
pub(crate) fn merge_list(pending: &mut Vec<EndpointList>, newer: EndpointList) {
    match pending.last_mut() {
        Some(list) if !newer.complete => merge_changes(list, newer),
        _ => *pending = vec![newer],
    }
}

fn merge_changes(list: &mut EndpointList, changes: EndpointList) {
    let changed: BTreeSet<HostId> = changes.entries.iter().map(|entry| entry.host).collect();
    list.entries.retain(|entry| !changed.contains(&entry.host));
    for entry in changes.entries {
        // A complete list omits hosts that are gone.
        if !(list.complete && entry.phase == Phase::Gone) {
            list.entries.push(entry);
        }
    }
}
