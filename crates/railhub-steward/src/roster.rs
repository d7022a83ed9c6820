//! Follows the host list: asks for what is newer than what it has, and waits for the answer.
use crate::inbox::{Inbox, OwnerEvent};
use railhub::{EndpointEntry, EndpointList, HostId, KindId, Phase, Seconds};
use railhub_net::http::{Client, HttpError};
use railhub_net::{seconds, Task};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// Seconds the list may take to answer: it holds a question that has no news for a second or so.
const WITHIN: Seconds = 5.0;
/// Seconds between tries while the list cannot be asked, and while it answers at once.
const PAUSE: Seconds = 0.3;
const LEAST_BETWEEN: Seconds = 0.01;

/// The list's answer. Times are on the machine's clock, weights without unit.
#[derive(Debug, Serialize, Deserialize)]
pub struct Page {
    pub version: u64,
    /// The whole list; else what changed since the version asked for.
    pub whole: bool,
    pub hosts: Vec<PageEntry>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PageEntry {
    pub host: SocketAddr,
    /// ready, draining or gone.
    pub phase: String,
    pub started: Option<f64>,
    pub weight: f64,
    pub kind: u16,
}

pub fn follow(roster: SocketAddr, inbox: Arc<Inbox>) -> Task {
    Task::spawn(move || {
        let mut caller = Client::new(roster, seconds(WITHIN));
        let (mut version, mut failing) = (0, false);
        loop {
            match ask(&mut caller, version) {
                Ok((newer, list)) => {
                    failing = false;
                    if newer != version {
                        version = newer;
                        inbox.send(OwnerEvent::List(list));
                    }
                    may::coroutine::sleep(seconds(LEAST_BETWEEN));
                }
                Err(fault) => {
                    if !std::mem::replace(&mut failing, true) {
                        tracing::warn!(%fault, "the host list cannot be asked: the last one holds");
                    }
                    may::coroutine::sleep(seconds(PAUSE));
                }
            }
        }
    })
}

fn ask(caller: &mut Client, version: u64) -> Result<(u64, EndpointList), HttpError> {
    let page: Page = caller.get_json(&format!("/hosts?after={version}"))?;
    let entries = page.hosts.iter().map(listed).collect::<Result<_, _>>()?;
    Ok((page.version, EndpointList { complete: page.whole, entries }))
}

fn listed(entry: &PageEntry) -> Result<EndpointEntry, HttpError> {
    let phase = match entry.phase.as_str() {
        "ready" => Phase::Ready,
        "draining" => Phase::Draining,
        "gone" => Phase::Gone,
        other => return Err(HttpError::Malformed(format!("phase {other} of {}", entry.host))),
    };
    if !(entry.weight.is_finite() && entry.weight >= 0.0) {
        return Err(HttpError::Malformed(format!("weight {} of {}", entry.weight, entry.host)));
    }
    let started_at = entry.started.filter(|at| at.is_finite());
    Ok(EndpointEntry {
        host: HostId::from(entry.host),
        phase,
        started_at,
        weight: entry.weight,
        kind: KindId(entry.kind),
    })
}
