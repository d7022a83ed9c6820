//! Pages of discovery's list of hosts, as typed values. Their bytes are those of [`crate::wire::discovery`].
use crate::error::DecodeError;
use railhub::{EndpointEntry, EndpointList};
use std::net::SocketAddr;

/// One host of a page.
#[derive(Clone, Copy, Debug)]
pub struct PageEntry {
    /// What the decisions see of it.
    pub endpoint: EndpointEntry,
    /// Where this controller reaches it for health checks.
    pub address: SocketAddr,
}

/// A complete list of hosts, or what changed since the page before.
#[derive(Clone, Debug, Default)]
pub struct EndpointPage {
    /// Discovery's version of the list.
    pub generation: u64,
    /// The complete list, so that a host it lacks is gone; otherwise what changed.
    pub complete: bool,
    /// The entries that could be read.
    pub entries: Vec<PageEntry>,
    /// Why entries were left out, one for each.
    pub invalid: Vec<DecodeError>,
}

impl EndpointPage {
    /// The page as the decisions take it.
    pub fn list(&self) -> EndpointList {
        EndpointList {
            complete: self.complete,
            entries: self.entries.iter().map(|entry| entry.endpoint).collect(),
        }
    }
}
