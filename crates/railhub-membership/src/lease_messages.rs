//! What a lease manager and the lease store say to each other.
use crate::{Epoch, Seconds};
use serde::{Deserialize, Serialize};

/// A request to the lease store. All of it is decided in one step, in the order release, renew, acquire.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Returned in the response.
    pub number: u64,
    /// The process that is to hold the leases.
    pub process: u64,
    /// Seconds that the leases are to last.
    #[serde(rename = "span")]
    pub duration: Seconds,
    /// Slices that the process wants and does not hold.
    #[serde(rename = "take")]
    pub acquire: Vec<u16>,
    /// Slices that it holds, under these epochs, and wants to keep.
    pub renew: Vec<(u16, Epoch)>,
    /// Slices that it gives up, under these epochs.
    pub release: Vec<(u16, Epoch)>,
}

/// The store's response to a [`LeaseRequest`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// The request's number.
    pub number: u64,
    /// Slices that were acquired or renewed, with their epochs.
    pub granted: Vec<(u16, Epoch)>,
    /// Slices that the process does not hold: another holds them, or the store does not grant them now.
    pub refused: Vec<u16>,
}
