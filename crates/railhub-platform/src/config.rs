//! The configuration of a controller on the platform, and the names used in its messages. The file format, with
//! [`NodeConfig::parse`], is in [`crate::wire::configuration`].
use crate::endpoints::EndpointPage;
use railhub::{ClassId, ControllerConfig, EndpointList, HostKindId, Seconds, ZoneId};
use std::net::SocketAddr;
use thiserror::Error;

/// Maximum number of operation classes in a file.
pub const MAX_CLASSES: usize = 64;
/// Maximum duration in a file: one day.
pub const MAX_DURATION: Seconds = 86_400.0;

/// Why a configuration file is invalid. Each error names the path of the JSON field.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file is not JSON, or a field is missing or has the wrong type.
    #[error("{field_path}: {error}")]
    Json {
        /// The path of the field, or `end of file`.
        field_path: String,
        /// The parser's error.
        error: serde_json::Error,
    },
    /// No operation class, or more than [`MAX_CLASSES`].
    #[error("{field_path}: expected 1 to {MAX_CLASSES} classes, got {count}")]
    ClassCount {
        /// The path of the field.
        field_path: String,
        /// Number of classes in the file.
        count: usize,
    },
    /// A duration over [`MAX_DURATION`].
    #[error("{field_path}: expected at most {MAX_DURATION} s, got {duration} s")]
    DurationTooLong {
        /// The path of the field.
        field_path: String,
        /// The duration, in seconds.
        duration: Seconds,
    },
    /// A number below 0, or not finite.
    #[error("{field_path}: must be a number from 0 up")]
    InvalidNumber {
        /// The path of the field.
        field_path: String,
    },
    /// A text that is none of the field's values.
    #[error("{field_path}: expected {expected}, got '{value}'")]
    UnknownValue {
        /// The path of the field.
        field_path: String,
        /// The value.
        value: String,
        /// The values that the field accepts.
        expected: &'static str,
    },
    /// A duration that is required if a slice has one owner. Without it two hosts could accept one owner's writes.
    #[error("{field_path}: required if settings.family_info.exclusive is true")]
    MissingSingleOwnerDuration {
        /// The path of the field.
        field_path: String,
    },
}

/// Maps the names used in messages to the numbers that the decision logic uses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Operation classes, by [`ClassId`].
    pub classes: Vec<String>,
    /// Zones, by [`ZoneId`].
    pub zones: Vec<String>,
    /// Kinds of hosts, by [`HostKindId`].
    pub kinds: Vec<String>,
    /// The longest client time-out, in seconds: an upper bound of mean service times.
    pub max_client_timeout: Seconds,
}

impl Names {
    /// The zone with this name.
    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        self.zones.iter().position(|known| known == name).map(|index| ZoneId(index as u16))
    }

    /// The class with this name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.iter().position(|known| known == name).map(|index| ClassId(index as u8))
    }

    /// The kind with this name. A name that the file does not list gets a number derived from its hash: a table of such
    /// names would grow without bound.
    pub fn kind(&self, name: &str) -> HostKindId {
        match self.kinds.iter().position(|known| known == name) {
            Some(index) => HostKindId(index as u16),
            None => HostKindId(hash(name).max(self.kinds.len() as u16)),
        }
    }
}

fn hash(name: &str) -> u16 {
    name.bytes().fold(0, |hash: u16, byte| hash.wrapping_mul(251) ^ u16::from(byte))
}

/// The validated configuration of one controller.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The controller's name on the platform.
    pub name: String,
    /// The address that the controller listens on.
    pub listen: SocketAddr,
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// The relay's address.
    pub relay: SocketAddr,
    /// Maximum number of file descriptors of the process.
    pub descriptor_limit: usize,
    /// Memory limit of the process, in megabytes.
    pub memory_limit_mb: usize,
    /// The endpoint list that the controller last knew. It may be outdated.
    pub known_endpoints: EndpointPage,
    /// The configuration of the decision logic.
    pub controller: ControllerConfig,
    /// The names used in messages.
    pub names: Names,
    /// Minimum time between two batches, in seconds.
    pub min_batch_interval: Seconds,
}

impl NodeConfig {
    /// The known endpoint list as the decision logic receives it at the start.
    pub fn initial_list(&self) -> EndpointList {
        EndpointList {
            complete: true,
            entries: self.known_endpoints.entries.iter().map(|entry| entry.endpoint).collect(),
        }
    }
}
