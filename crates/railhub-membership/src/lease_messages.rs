//! The messages between a lease manager and the lease store.
use crate::{Epoch, Seconds};
use serde::{Deserialize, Serialize};

/// A request to the lease store. The store processes it in one step, in the order release, renew, acquire.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Request number, returned in the response.
    pub number: u64,
    /// The process that is to hold the leases.
    pub process: u64,
    /// Requested duration of the leases in seconds.
    #[serde(rename = "span")]
    pub duration: Seconds,
    /// Slices to acquire, which the process does not hold.
    #[serde(rename = "take")]
    pub acquire: Vec<u16>,
    /// Slices to renew, with the epochs under which the process holds them.
    pub renew: Vec<(u16, Epoch)>,
    /// Slices to release, with the epochs under which the process held them.
    pub release: Vec<(u16, Epoch)>,
}

/// The store's response to a [`LeaseRequest`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// The request's number.
    pub number: u64,
    /// Slices that the request acquired or renewed, with their epochs.
    pub granted: Vec<(u16, Epoch)>,
    /// Slices that the process does not hold: another process holds them, or the store does not grant them now.
    pub refused: Vec<u16>,
}
