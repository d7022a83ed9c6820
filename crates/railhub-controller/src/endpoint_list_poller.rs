//! Follows the endpoint list by long polling: requests what is newer than the version it has.
//!
//! The way of one update: the list responds with its changes since the version asked for, or with the complete list;
//! each entry is checked, and the update goes to the owner of the core. While the list does not respond the last one
//! holds.
use crate::inbox::{Inbox, OwnerEvent};
use railhub::{EndpointEntry, EndpointList, HostId, HostKindId, Phase, Seconds};
use railhub_net::http::{Client, HttpError};
use railhub_net::{seconds, Task};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use thiserror::Error;

/// Seconds that the list may take to respond: it holds a request without news for a second or so.
const RESPONSE_TIMEOUT: Seconds = 5.0;
/// Seconds between requests while the list does not respond.
const RETRY_INTERVAL: Seconds = 0.3;
/// Seconds between requests while the list responds at once.
const MIN_POLL_INTERVAL: Seconds = 0.01;

/// The list's response. Its JSON names are the list's.
#[derive(Debug, Serialize, Deserialize)]
struct Page {
    version: u64,
    /// The list is complete; otherwise these are changes since the version asked for.
    #[serde(rename = "whole")]
    complete: bool,
    hosts: Vec<PageEntry>,
}

/// A host in the list's response. Times are on the machine's clock, weights without unit.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct PageEntry {
    host: SocketAddr,
    /// ready, draining or gone.
    phase: String,
    started: Option<f64>,
    weight: f64,
    kind: u16,
}

/// Why an update of the endpoint list is not applied.
#[derive(Debug, Error)]
enum EndpointListError {
    #[error("endpoint list {address}: {source}")]
    Request { address: SocketAddr, source: HttpError },
    #[error("endpoint list: host {host} has the unknown phase '{phase}'")]
    UnknownPhase { host: SocketAddr, phase: String },
    #[error("endpoint list: host {host} has the impossible weight {weight}")]
    ImpossibleWeight { host: SocketAddr, weight: f64 },
}

/// An update and the version that it makes.
struct Update {
    version: u64,
    list: EndpointList,
}

/// Starts polling. Dropping the task ends it.
pub fn start(endpoint_list: SocketAddr, inbox: Arc<Inbox>) -> Task {
    Task::spawn(move || run(endpoint_list, &inbox))
}

fn run(endpoint_list: SocketAddr, inbox: &Inbox) {
    let mut client = Client::new(endpoint_list, seconds(RESPONSE_TIMEOUT));
    let (mut version, mut is_failing) = (0, false);
    loop {
        match poll(&mut client, endpoint_list, version) {
            Ok(update) => {
                is_failing = false;
                if update.version != version {
                    version = update.version;
                    inbox.send(OwnerEvent::EndpointList(update.list));
                }
                may::coroutine::sleep(seconds(MIN_POLL_INTERVAL));
            }
            Err(error) => {
                if !std::mem::replace(&mut is_failing, true) {
                    tracing::warn!(%error, "endpoint list request failed, the last list holds");
                }
                may::coroutine::sleep(seconds(RETRY_INTERVAL));
            }
        }
    }
}

fn poll(client: &mut Client, address: SocketAddr, version: u64) -> Result<Update, EndpointListError> {
    let page = client.get_json(&format!("/hosts?after={version}"));
    let page: Page = page.map_err(|source| EndpointListError::Request { address, source })?;
    let mut entries = Vec::with_capacity(page.hosts.len());
    for entry in &page.hosts {
        entries.push(to_endpoint(entry)?);
    }
    Ok(Update { version: page.version, list: EndpointList { complete: page.complete, entries } })
}

fn to_endpoint(entry: &PageEntry) -> Result<EndpointEntry, EndpointListError> {
    let (host, weight) = (entry.host, entry.weight);
    let phase = match entry.phase.as_str() {
        "ready" => Phase::Ready,
        "draining" => Phase::Draining,
        "gone" => Phase::Gone,
        other => return Err(EndpointListError::UnknownPhase { host, phase: other.to_owned() }),
    };
    if !(weight.is_finite() && weight >= 0.0) {
        return Err(EndpointListError::ImpossibleWeight { host, weight });
    }
    let started_at = entry.started.filter(|at| at.is_finite());
    Ok(EndpointEntry { host: HostId::from(host), phase, started_at, weight, kind: HostKindId(entry.kind) })
}
