//! Requests to the store.
use super::bodies::{LeasedTables, StoredTable};
use railhub::Seconds;
use railhub_membership::lease_messages::LeaseRequest;
use railhub_net::http::{Client, HttpError};
use railhub_net::seconds;
use std::fmt;
use std::net::SocketAddr;
use thiserror::Error;

/// What is requested of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreOperation {
    /// All slices with their tables.
    ReadSlices,
    /// Tables are written.
    WriteTables,
    /// Leases are taken, renewed and released.
    RequestLeases,
}

impl fmt::Display for StoreOperation {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(match self {
            StoreOperation::ReadSlices => "reading the slices",
            StoreOperation::WriteTables => "writing tables",
            StoreOperation::RequestLeases => "requesting leases",
        })
    }
}

/// A request to the store failed.
#[derive(Debug, Error)]
#[error("store {address}, {operation}: {source}")]
pub struct StoreError {
    /// Where the store is.
    pub address: SocketAddr,
    /// What was requested.
    pub operation: StoreOperation,
    /// What went wrong.
    pub source: HttpError,
}

/// A connection to the store.
pub(super) struct StoreClient {
    address: SocketAddr,
    client: Client,
}

impl StoreClient {
    /// A client whose requests take at most `timeout`.
    pub(super) fn new(address: SocketAddr, timeout: Seconds) -> StoreClient {
        StoreClient { address, client: Client::new(address, seconds(timeout)) }
    }

    /// All slices with their tables, for a controller that is alone.
    pub(super) fn read_slices(&mut self) -> Result<Vec<StoredTable>, StoreError> {
        let tables = self.client.get_json("/charges");
        tables.map_err(|source| self.error(StoreOperation::ReadSlices, source))
    }

    /// Writes tables and returns the slices whose tables the store rejects.
    pub(super) fn write_tables(&mut self, tables: &Vec<StoredTable>) -> Result<Vec<u16>, StoreError> {
        let rejected = self.client.exchange_json("PUT", "/tables", tables);
        rejected.map_err(|source| self.error(StoreOperation::WriteTables, source))
    }

    /// Takes, renews and releases leases.
    pub(super) fn request_leases(&mut self, request: &LeaseRequest) -> Result<LeasedTables, StoreError> {
        let leased = self.client.exchange_json("POST", "/leases", request);
        leased.map_err(|source| self.error(StoreOperation::RequestLeases, source))
    }

    fn error(&self, operation: StoreOperation, source: HttpError) -> StoreError {
        StoreError { address: self.address, operation, source }
    }
}
