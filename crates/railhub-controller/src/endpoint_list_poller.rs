//! Follows the endpoint list by long polling: each request asks for changes since the last version received.
//!
//! How an update is processed: the list server responds with the changes since that version, or with the complete list.
//! Each entry is checked, and the update is sent to the owner of the core. While the server does not respond, the last
//! list stays in use.
use crate::inbox::{Inbox, OwnerEvent};
use railhub::{EndpointEntry, EndpointList, HostId, HostKindId, Phase, Seconds};
use railhub_net::http::{Client, HttpError};
use railhub_net::{seconds, Task};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use thiserror::Error;

/// Seconds that the list server may take to respond. It holds a request for about a second if nothing has changed.
const RESPONSE_TIMEOUT: Seconds = 5.0;
/// Seconds between requests while the list server does not respond.
const RETRY_INTERVAL: Seconds = 0.3;
/// Seconds between requests while the list server responds at once.
const MIN_POLL_INTERVAL: Seconds = 0.01;

/// A response of the list server. Its JSON names are fixed by the protocol.
#[derive(Debug, Serialize, Deserialize)]
struct Page {
    version: u64,
    /// The list is complete; otherwise it has the changes since the requested version.
    #[serde(rename = "whole")]
    complete: bool,
    hosts: Vec<PageEntry>,
}

/// A host in a response. Times are on the machine's clock, weights have no unit.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct PageEntry {
    host: SocketAddr,
    /// `ready`, `draining` or `gone`.
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
    #[error("endpoint list: host {host} has the unknown phase '{phase}', expected ready, draining or gone")]
    UnknownPhase { host: SocketAddr, phase: String },
    #[error(
        "endpoint list: host {host} has the invalid weight {weight}, expected a finite number of at least 0"
    )]
    ImpossibleWeight { host: SocketAddr, weight: f64 },
}

/// An update and the version of the list after it.
struct Update {
    version: u64,
    list: EndpointList,
}

/// Starts polling. Dropping the task stops it.
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
                    tracing::warn!(%error, "endpoint list request failed, keeping the last list");
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
