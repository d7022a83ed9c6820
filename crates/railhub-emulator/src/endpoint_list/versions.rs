//! The endpoints of the list and their versions, without I/O or locks.
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum number of changes that are kept. A poller that is further behind gets the complete list.
const MAX_CHANGES: usize = 1000;

/// Phase of an endpoint that accepts operations.
pub const READY: &str = "ready";
/// Phase of an endpoint that accepts no new operations.
pub const DRAINING: &str = "draining";
/// Phase of an endpoint that has been removed.
pub const GONE: &str = "gone";

/// A host's entry in the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ListedEndpoint {
    /// Address of the host.
    pub host: SocketAddr,
    /// Phase of the host: [`READY`], [`DRAINING`] or [`GONE`].
    pub phase: &'static str,
    /// When the host's process started, in seconds, if the list has this.
    pub started: Option<f64>,
    /// Weight of the host.
    pub weight: f64,
    /// Number of the host's kind.
    pub kind: u16,
}

/// The response to a poll.
#[derive(Serialize)]
pub struct EndpointPage {
    pub version: u64,
    #[serde(rename = "whole")]
    pub complete: bool,
    pub hosts: Vec<ListedEndpoint>,
}

/// The true endpoints, the overrides, and the published endpoints with their latest changes.
#[derive(Default)]
pub struct ListState {
    endpoints: BTreeMap<SocketAddr, ListedEndpoint>,
    /// Injected entries, by the number of the fault.
    overrides: BTreeMap<u64, Vec<ListedEndpoint>>,
    published: BTreeMap<SocketAddr, ListedEndpoint>,
    /// The latest changes, each with the version that published it.
    changes: Vec<(u64, ListedEndpoint)>,
    pub version: u64,
    pub unavailable: bool,
}

impl ListState {
    pub fn update(&mut self, entries: Vec<ListedEndpoint>) {
        for entry in entries {
            if entry.phase == GONE {
                self.endpoints.remove(&entry.host);
            } else {
                self.endpoints.insert(entry.host, entry);
            }
        }
    }

    pub fn set_override(&mut self, fault: u64, entries: Option<Vec<ListedEndpoint>>) {
        match entries {
            Some(entries) => _ = self.overrides.insert(fault, entries),
            None => _ = self.overrides.remove(&fault),
        }
    }

    pub fn endpoints(&self) -> Vec<ListedEndpoint> {
        self.endpoints.values().cloned().collect()
    }

    /// Publishes the current endpoints, under a new version if anything has changed.
    pub fn publish(&mut self) {
        let effective = self.effective_endpoints();
        let removed = self.published.values().filter(|entry| !effective.contains_key(&entry.host));
        let gone: Vec<_> = removed.map(|entry| ListedEndpoint { phase: GONE, ..entry.clone() }).collect();
        let changed = effective.values().filter(|entry| self.published.get(&entry.host) != Some(entry));
        let changed: Vec<ListedEndpoint> = changed.cloned().chain(gone).collect();
        if !changed.is_empty() {
            self.version += 1;
            self.changes.extend(changed.into_iter().map(|entry| (self.version, entry)));
            let surplus = self.changes.len().saturating_sub(MAX_CHANGES);
            self.changes.drain(..surplus);
        }
        self.published = effective;
    }

    /// The endpoints with the overrides applied.
    fn effective_endpoints(&self) -> BTreeMap<SocketAddr, ListedEndpoint> {
        let mut endpoints = self.endpoints.clone();
        for entry in self.overrides.values().flatten() {
            // An override with the phase `GONE` does not add an endpoint that has been removed.
            if entry.phase != GONE || endpoints.contains_key(&entry.host) {
                endpoints.insert(entry.host, entry.clone());
            }
        }
        endpoints
    }

    /// The changes after a version, or the complete list if some of these changes are no longer kept.
    pub fn page(&self, after: u64) -> EndpointPage {
        let oldest = self.changes.first();
        let has_all_changes = oldest.is_some_and(|(version, _)| *version <= after + 1) && after > 0;
        let hosts = if has_all_changes {
            let newer = self.changes.iter().filter(|(version, _)| *version > after);
            newer.map(|(_, entry)| entry.clone()).collect()
        } else {
            self.published.values().filter(|entry| entry.phase != GONE).cloned().collect()
        };
        EndpointPage { version: self.version, complete: !has_all_changes, hosts }
    }
}
