//! The store's messages as JSON. Field names are those of the protocol.
use crate::routing::Table;
use railhub_membership::lease_messages::LeaseResponse;
use serde::{Deserialize, Serialize};

/// A slice's table, in a write or a response.
#[derive(Clone, Serialize, Deserialize)]
pub struct StoredTable {
    pub slice: u32,
    /// The epoch that it is written or granted under; 0: none.
    #[serde(default)]
    pub epoch: u64,
    pub lines: Table,
    /// What the controller that released the slice left for the next one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub state: Option<serde_json::Value>,
    /// How many seconds ago it was left.
    #[serde(default)]
    pub age: f64,
}

/// A response to a lease request.
#[derive(Serialize)]
pub struct LeaseReply {
    #[serde(rename = "says")]
    pub response: LeaseResponse,
    /// The tables of the slices that were acquired.
    pub tables: Vec<StoredTable>,
}

/// One slice's lease, for operators.
#[derive(Serialize)]
pub struct LeaseStatus {
    pub slice: u32,
    pub epoch: u64,
    pub process: Option<u64>,
    /// Seconds that the lease has left.
    #[serde(rename = "left")]
    pub remaining: f64,
}
