//! Events of the scenario's faults, of the controllers' processes and of the store that they share.
use prost::Message;

/// A fault of the scenario began or ended.
#[derive(Clone, PartialEq, Message)]
pub struct InjectedFault {
    /// Its name and kind in the scenario.
    #[prost(string, tag = "1")]
    pub name: String,
    /// True if it began, false if it ended.
    #[prost(bool, tag = "2")]
    pub active: bool,
    /// Its settings in the scenario.
    #[prost(string, tag = "3")]
    pub note: String,
    /// Factor by which it slows down the update channel; 0 if it does not.
    #[prost(double, tag = "4")]
    pub channel_slowdown: f64,
}

/// A controller's process started, paused, resumed or ended.
#[derive(Clone, PartialEq, Message)]
pub struct ControllerLifecycle {
    /// The process exists.
    #[prost(bool, tag = "1")]
    pub running: bool,
    /// The controller's number.
    #[prost(uint32, tag = "2")]
    pub controller: u32,
    /// The process exists and is paused; when it resumes, it is recorded as running again.
    #[prost(bool, tag = "3")]
    pub paused: bool,
    /// Its clock is set back while it runs: its leases do not expire in time, and only epochs protect the slices.
    #[prost(bool, tag = "4")]
    pub clock_set_back: bool,
}

/// The store granted a slice to a controller's process that did not hold it before.
#[derive(Clone, PartialEq, Message)]
pub struct SliceGranted {
    /// The slice.
    #[prost(uint32, tag = "1")]
    pub slice: u32,
    /// The epoch of the grant.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// The process that holds it.
    #[prost(uint64, tag = "3")]
    pub process: u64,
}

/// A table reached the store.
#[derive(Clone, PartialEq, Message)]
pub struct TableWrite {
    /// The slice.
    #[prost(uint32, tag = "1")]
    pub slice: u32,
    /// The epoch under which it was sent.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// True if the store wrote it, false if the store refused it.
    #[prost(bool, tag = "3")]
    pub written: bool,
}
