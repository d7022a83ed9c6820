//! What the threads and coroutines of one process share, each part with its own lock or atomics.
use crate::active_connection::ActiveConnection;
use crate::addresses::CurrentAddresses;
use crate::descriptors::OpenDescriptors;
use crate::events::{new_inbox, ControllerInbox};
use crate::peer_health::PeerHealth;
use crate::rejections::Rejections;
use crate::status::ControllerStatus;
use may::sync::Semphore;
use railhub_platform::{Names, NodeConfig};
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};

/// Pages of the endpoint list that may wait for the controller thread: each may be a complete list.
const MAX_QUEUED_PAGES: usize = 4;

/// Calls to the relay and subscriptions, counted since the start.
#[derive(Default)]
pub struct RelayCounters {
    /// Subscriptions requested on a connection that came up.
    pub subscriptions: AtomicU64,
    /// Calls sent.
    pub calls: AtomicU64,
    /// Calls that ended without a readable answer.
    pub calls_unknown: AtomicU64,
    /// Calls that the relay rejected, as before the run begins.
    pub calls_rejected: AtomicU64,
}

/// The shared state of one process.
pub struct SharedState {
    /// The queues of the controller thread.
    pub inbox: ControllerInbox,
    /// Names of zones, classes and machine types.
    pub names: Names,
    /// Slices of the deployment; a report of another is rejected.
    pub slices: u16,
    /// The relay's and discovery's addresses in force.
    pub addresses: CurrentAddresses,
    /// Subscriptions attempted, whether the relay could be reached or not; numbers the next one.
    pub subscription_attempts: AtomicU64,
    /// The subscription in use.
    pub subscription: ActiveConnection,
    /// The discovery watch in use.
    pub discovery_watch: ActiveConnection,
    /// Whether the relay's subscription is up.
    pub relay_health: PeerHealth,
    /// Whether the discovery watch is up.
    pub discovery_health: PeerHealth,
    /// One permit a queued page: taken by the watch before it sends a page, returned by the controller thread.
    pub page_permits: Semphore,
    /// Open descriptors by holder.
    pub descriptors: OpenDescriptors,
    /// Counters of calls and subscriptions.
    pub relay_counters: RelayCounters,
    /// Counters of what was rejected.
    pub rejections: Rejections,
    status: Mutex<ControllerStatus>,
}

impl SharedState {
    /// The state at the start, with no connection up.
    pub fn new(config: &NodeConfig) -> Arc<SharedState> {
        Arc::new(SharedState {
            inbox: new_inbox(),
            names: config.names.clone(),
            slices: config.controller.slice_count,
            addresses: CurrentAddresses::new(config.relay, config.discovery),
            subscription_attempts: AtomicU64::new(0),
            subscription: ActiveConnection::default(),
            discovery_watch: ActiveConnection::default(),
            relay_health: PeerHealth::default(),
            discovery_health: PeerHealth::default(),
            page_permits: Semphore::new(MAX_QUEUED_PAGES),
            descriptors: OpenDescriptors::default(),
            relay_counters: RelayCounters::default(),
            rejections: Rejections::default(),
            status: Mutex::default(),
        })
    }

    /// The controller's status as last published.
    pub fn status(&self) -> ControllerStatus {
        self.status.lock().expect("no holder panics").clone()
    }

    /// Generation of the endpoint list that the controller has applied.
    pub fn endpoint_generation(&self) -> u64 {
        self.status.lock().expect("no holder panics").generation
    }

    /// Replaces the published status.
    pub fn publish_status(&self, status: ControllerStatus) {
        *self.status.lock().expect("no holder panics") = status;
    }
}
