//! Why a datagram is dropped, and how many were.
use super::limits::MAX_DATAGRAM_BYTES;
use serde::Serialize;
use std::collections::BTreeMap;
use thiserror::Error;

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DecodeError {
    /// It is longer than any that is sent.
    #[error("datagram is longer than {MAX_DATAGRAM_BYTES} bytes")]
    Oversized,
    /// Its header or checksum is wrong.
    #[error("datagram is corrupt or no membership datagram")]
    #[serde(rename = "spoilt")]
    Corrupt,
    /// It is of another protocol version.
    #[error("datagram is of an unsupported protocol version")]
    #[serde(rename = "version")]
    UnsupportedVersion,
    /// It names another installation.
    #[error("datagram is of another installation")]
    #[serde(rename = "foreign")]
    ForeignInstallation,
    /// Its body is no packet, or a field is out of bounds.
    #[error("datagram's body is malformed")]
    Malformed,
}

/// Dropped datagrams by cause.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DroppedDatagrams(pub BTreeMap<DecodeError, u64>);

impl DroppedDatagrams {
    /// Counts one more.
    pub fn count(&mut self, cause: DecodeError) {
        *self.0.entry(cause).or_default() += 1;
    }

    /// All that were dropped.
    pub fn total(&self) -> u64 {
        self.0.values().sum()
    }
}
