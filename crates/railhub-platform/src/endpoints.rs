//! Pages of discovery's endpoint list as typed values. [`crate::wire::discovery`] decodes them.
use crate::error::DecodeError;
use railhub::{EndpointEntry, EndpointList};
use std::net::SocketAddr;

/// One host of a page.
#[derive(Clone, Copy, Debug)]
pub struct PageEntry {
    /// The entry as the decision logic receives it.
    pub endpoint: EndpointEntry,
    /// The host's address for health checks.
    pub address: SocketAddr,
}

/// A complete endpoint list, or the changes since the previous page.
#[derive(Clone, Debug, Default)]
pub struct EndpointPage {
    /// Discovery's version of the list.
    pub generation: u64,
    /// Whether this is the complete list, so that a host missing from it is gone; otherwise it contains changes.
    pub complete: bool,
    /// The valid entries.
    pub entries: Vec<PageEntry>,
    /// For each entry that was left out, why it is invalid.
    pub invalid: Vec<DecodeError>,
}

impl EndpointPage {
    /// The page as the decision logic receives it.
    pub fn list(&self) -> EndpointList {
        EndpointList {
            complete: self.complete,
            entries: self.entries.iter().map(|entry| entry.endpoint).collect(),
        }
    }
}
