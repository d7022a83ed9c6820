//! Events of the hosts' processes.
use prost::Message;

/// A host's process started.
#[derive(Clone, PartialEq, Message)]
pub struct HostStarted {
    /// Its address.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Its zone's number.
    #[prost(uint32, tag = "2")]
    pub zone: u32,
    /// Operations that it can execute at the same time.
    #[prost(double, tag = "3")]
    pub cores: f64,
    /// Speed of each core: core seconds at speed 1 that it executes per second.
    #[prost(double, tag = "4")]
    pub speed: f64,
    /// It starts cold, with a part of its capacity.
    #[prost(bool, tag = "5")]
    pub cold: bool,
    /// Fraction of its capacity that it has when it starts cold.
    #[prost(double, tag = "6")]
    pub cold_capacity_fraction: f64,
    /// Seconds until it has its full capacity.
    #[prost(double, tag = "7")]
    pub warm_up_time: f64,
}

/// A host's process ended.
#[derive(Clone, PartialEq, Message)]
pub struct HostStopped {
    /// Its address.
    #[prost(string, tag = "1")]
    pub host: String,
}
