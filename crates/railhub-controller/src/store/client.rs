//! The HTTP client for requests to the store.
use super::bodies::{LeasedTables, StoredTable};
use railhub::Seconds;
use railhub_membership::lease_messages::LeaseRequest;
use railhub_net::http::{Client, HttpError};
use railhub_net::seconds;
use std::fmt;
use std::net::SocketAddr;
use thiserror::Error;

/// The kinds of requests to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreOperation {
    /// Reads all slices with their tables.
    ReadSlices,
    /// Writes tables.
    WriteTables,
    /// Acquires, renews and releases leases.
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

/// A failed request to the store.
#[derive(Debug, Error)]
#[error("store {address}: {operation} failed: {source}")]
pub struct StoreError {
    /// The store's address.
    pub address: SocketAddr,
    /// The request that failed.
    pub operation: StoreOperation,
    /// Why it failed.
    pub source: HttpError,
}

/// A connection to the store.
pub(super) struct StoreClient {
    address: SocketAddr,
    client: Client,
}

impl StoreClient {
    /// Creates a client whose requests fail after `timeout`.
    pub(super) fn new(address: SocketAddr, timeout: Seconds) -> StoreClient {
        StoreClient { address, client: Client::new(address, seconds(timeout)) }
    }

    /// Reads all slices with their tables, for a controller that does not share slices.
    pub(super) fn read_slices(&mut self) -> Result<Vec<StoredTable>, StoreError> {
        let tables = self.client.get_json("/charges");
        tables.map_err(|source| self.error(StoreOperation::ReadSlices, source))
    }

    /// Writes tables and returns the slices whose tables the store rejects.
    pub(super) fn write_tables(&mut self, tables: &Vec<StoredTable>) -> Result<Vec<u16>, StoreError> {
        let rejected = self.client.exchange_json("PUT", "/tables", tables);
        rejected.map_err(|source| self.error(StoreOperation::WriteTables, source))
    }

    /// Acquires, renews and releases leases.
    pub(super) fn request_leases(&mut self, request: &LeaseRequest) -> Result<LeasedTables, StoreError> {
        let leased = self.client.exchange_json("POST", "/leases", request);
        leased.map_err(|source| self.error(StoreOperation::RequestLeases, source))
    }

    fn error(&self, operation: StoreOperation, source: HttpError) -> StoreError {
        StoreError { address: self.address, operation, source }
    }
}
