//! The configuration of a controller on the platform, and the names that its messages use. The file's fields are those
//! of [`crate::wire::configuration`], where [`NodeConfig::parse`] is.
use crate::endpoints::EndpointPage;
use railhub::{ClassId, ControllerConfig, EndpointList, HostKindId, Seconds, ZoneId};
use std::net::SocketAddr;
use thiserror::Error;

/// Most classes of requests that a file may name.
pub const MAX_CLASSES: usize = 64;
/// Longest duration that a file may give, in seconds: a day.
pub const MAX_DURATION: Seconds = 86_400.0;

/// What is wrong in a configuration file. Each names the place, as a path of JSON fields.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// No JSON, or a field is missing or of another type.
    #[error("{place}: {error}")]
    Json {
        /// Where in the file.
        place: String,
        /// The parser's error.
        error: serde_json::Error,
    },
    /// No class of requests, or more than [`MAX_CLASSES`].
    #[error("{place}: {count} classes, 1 to {MAX_CLASSES} can be")]
    ClassCount {
        /// Where in the file.
        place: String,
        /// How many the file names.
        count: usize,
    },
    /// A duration over [`MAX_DURATION`].
    #[error("{place}: is longer than a day")]
    TooLong {
        /// Where in the file.
        place: String,
    },
    /// A number below 0, or none.
    #[error("{place}: must be a number from 0 up")]
    Negative {
        /// Where in the file.
        place: String,
    },
    /// A value that the field does not know.
    #[error("{place}: cannot be '{value}'")]
    UnknownValue {
        /// Where in the file.
        place: String,
        /// The value.
        value: String,
    },
    /// Without it two hosts could accept one owner's writes.
    #[error("{place}: is needed where a slice has one owner")]
    SingleOwnerTime {
        /// Where in the file.
        place: String,
    },
}

/// The names that messages use for what the decisions number.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Classes of requests, by [`ClassId`].
    pub classes: Vec<String>,
    /// Zones, by [`ZoneId`].
    pub zones: Vec<String>,
    /// Kinds of hosts, by [`HostKindId`].
    pub kinds: Vec<String>,
    /// The longest time a client waits, in seconds: an upper bound of mean service times.
    pub max_client_timeout: Seconds,
}

impl Names {
    /// The zone of this name.
    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        self.zones.iter().position(|known| known == name).map(|index| ZoneId(index as u16))
    }

    /// The class of this name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.iter().position(|known| known == name).map(|index| ClassId(index as u8))
    }

    /// The kind of this name. One that the file does not name gets a number by its hash: a table of them would grow
    /// without bound.
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

/// The configuration of one controller, checked.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The controller's name on the platform.
    pub name: String,
    /// Its own address.
    pub listen: SocketAddr,
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// The relay's address.
    pub relay: SocketAddr,
    /// Descriptors that the process may use.
    pub sockets: usize,
    /// Megabytes of memory that the process may use.
    pub memory_mb: usize,
    /// The list of hosts as this controller last had it; it may be old.
    pub known_endpoints: EndpointPage,
    /// The configuration of the decisions.
    pub controller: ControllerConfig,
    /// The names that messages use.
    pub names: Names,
    /// Least time between two batches, in seconds.
    pub tick_interval: Seconds,
}

impl NodeConfig {
    /// The list of hosts it starts with, as the decisions take it.
    pub fn first_list(&self) -> EndpointList {
        EndpointList {
            complete: true,
            entries: self.known_endpoints.entries.iter().map(|entry| entry.endpoint).collect(),
        }
    }
}
