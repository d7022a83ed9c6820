//! Reasons for which datagrams are dropped, and a counter for each.
use super::limits::{MAX_DATAGRAM_BYTES, VERSION};
use serde::Serialize;
use std::collections::BTreeMap;
use thiserror::Error;

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DecodeError {
    /// The datagram is longer than the longest that is sent.
    #[error("datagram is longer than {MAX_DATAGRAM_BYTES} bytes")]
    Oversized,
    /// The header or the checksum is invalid.
    #[error("datagram is corrupt or not a membership datagram")]
    #[serde(rename = "spoilt")]
    Corrupt,
    /// The datagram has another protocol version.
    #[error("datagram has a protocol version other than {VERSION}")]
    #[serde(rename = "version")]
    UnsupportedVersion,
    /// The datagram belongs to another installation.
    #[error("datagram belongs to another installation")]
    #[serde(rename = "foreign")]
    ForeignInstallation,
    /// The body is not a valid packet, or one of its fields is out of bounds.
    #[error("datagram body is not a valid packet or has a field out of bounds")]
    Malformed,
}

/// Counts of dropped datagrams by cause.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DroppedDatagrams(pub BTreeMap<DecodeError, u64>);

impl DroppedDatagrams {
    /// Counts one dropped datagram.
    pub fn count(&mut self, cause: DecodeError) {
        *self.0.entry(cause).or_default() += 1;
    }

    /// Number of all dropped datagrams.
    pub fn total(&self) -> u64 {
        self.0.values().sum()
    }
}
