//! The endpoints and their versions. Plain functions over plain state.
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Changes that are kept; a poller that is further behind gets the complete list.
const MAX_CHANGES: usize = 1000;

/// The phase of an endpoint that takes operations.
pub const READY: &str = "ready";
/// The phase of an endpoint that takes no new operations.
pub const DRAINING: &str = "draining";
/// The phase of an endpoint that is no longer there.
pub const GONE: &str = "gone";

/// One host's entry.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ListedEndpoint {
    /// Its address.
    pub host: SocketAddr,
    /// Its phase: [`READY`], [`DRAINING`] or [`GONE`].
    pub phase: &'static str,
    /// When its process started, in seconds, if the list has it.
    pub started: Option<f64>,
    /// Its weight.
    pub weight: f64,
    /// Its kind's number.
    pub kind: u16,
}

/// A response to a poll.
#[derive(Serialize)]
pub struct EndpointPage {
    pub version: u64,
    #[serde(rename = "whole")]
    pub complete: bool,
    pub hosts: Vec<ListedEndpoint>,
}

/// The endpoints, and what is published of them.
#[derive(Default)]
pub struct ListState {
    endpoints: BTreeMap<SocketAddr, ListedEndpoint>,
    /// By the fault's number.
    overrides: BTreeMap<u64, Vec<ListedEndpoint>>,
    published: BTreeMap<SocketAddr, ListedEndpoint>,
    /// The latest changes and the versions that they came with.
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

    /// Publishes what has changed under a new version.
    pub fn publish(&mut self) {
        let effective_endpoints = self.effective_endpoints();
        let vanished = self.published.values().filter(|entry| !effective_endpoints.contains_key(&entry.host));
        let gone: Vec<_> = vanished.map(|entry| ListedEndpoint { phase: GONE, ..entry.clone() }).collect();
        let changed =
            effective_endpoints.values().filter(|entry| self.published.get(&entry.host) != Some(entry));
        let changed: Vec<ListedEndpoint> = changed.cloned().chain(gone).collect();
        if !changed.is_empty() {
            self.version += 1;
            self.changes.extend(changed.into_iter().map(|entry| (self.version, entry)));
            let surplus = self.changes.len().saturating_sub(MAX_CHANGES);
            self.changes.drain(..surplus);
        }
        self.published = effective_endpoints;
    }

    /// The endpoints with the overrides applied.
    fn effective_endpoints(&self) -> BTreeMap<SocketAddr, ListedEndpoint> {
        let mut endpoints = self.endpoints.clone();
        for entry in self.overrides.values().flatten() {
            // An override that an endpoint is gone does not add one that was removed.
            if entry.phase != GONE || endpoints.contains_key(&entry.host) {
                endpoints.insert(entry.host, entry.clone());
            }
        }
        endpoints
    }

    /// The changes after a version, or the complete list if they are not all kept.
    pub fn page(&self, after: u64) -> EndpointPage {
        let oldest = self.changes.first();
        let has_changes = oldest.is_some_and(|(version, _)| *version <= after + 1) && after > 0;
        let hosts = if has_changes {
            let newer = self.changes.iter().filter(|(version, _)| *version > after);
            newer.map(|(_, entry)| entry.clone()).collect()
        } else {
            self.published.values().filter(|entry| entry.phase != GONE).cloned().collect()
        };
        EndpointPage { version: self.version, complete: !has_changes, hosts }
    }
}
