//! The JSON messages of the store. The field names are part of the protocol.
use crate::routing::Table;
use railhub_membership::lease_messages::LeaseResponse;
use serde::{Deserialize, Serialize};

/// The table of a slice, in a write request or a response.
#[derive(Clone, Serialize, Deserialize)]
pub struct StoredTable {
    pub slice: u32,
    /// Epoch under which the table is written or granted; 0 if there is none.
    #[serde(default)]
    pub epoch: u64,
    pub lines: Table,
    /// Handover state, which a controller leaves for the next owner of the slice.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub state: Option<serde_json::Value>,
    /// Age of the handover state, in seconds.
    #[serde(default)]
    pub age: f64,
}

/// A response to a lease request.
#[derive(Serialize)]
pub struct LeaseReply {
    #[serde(rename = "says")]
    pub response: LeaseResponse,
    /// Tables of the slices that the request has acquired.
    pub tables: Vec<StoredTable>,
}

/// The lease of one slice, for operators.
#[derive(Serialize)]
pub struct LeaseStatus {
    pub slice: u32,
    pub epoch: u64,
    pub process: Option<u64>,
    /// Remaining time of the lease, in seconds.
    #[serde(rename = "left")]
    pub remaining: f64,
}
