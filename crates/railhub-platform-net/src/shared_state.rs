//! The state that the threads and coroutines of the process share. Each part has its own lock or atomics.
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

/// Maximum number of queued pages of the endpoint list: low, as each may be a complete list.
const MAX_QUEUED_PAGES: usize = 4;

/// Numbers of calls to the relay and of subscriptions since the start of the process.
#[derive(Default)]
pub struct RelayCounters {
    /// Subscriptions requested on an established connection.
    pub subscriptions: AtomicU64,
    /// Calls sent.
    pub calls: AtomicU64,
    /// Calls without a valid answer, whose outcome is unknown.
    pub calls_unknown: AtomicU64,
    /// Calls that the relay rejected, as it does before the run begins.
    pub calls_rejected: AtomicU64,
}

/// The shared state of one process.
pub struct SharedState {
    /// The queues of the controller thread.
    pub inbox: ControllerInbox,
    /// Names of zones, classes and machine types.
    pub names: Names,
    /// Number of slices of the deployment; a report about another slice is rejected.
    pub slice_count: u16,
    /// The current addresses of the relay and of discovery.
    pub addresses: CurrentAddresses,
    /// Number of subscription attempts, including those without a connection. Gives each attempt its sequence number.
    pub subscription_attempts: AtomicU64,
    /// The subscription in use.
    pub subscription: ActiveConnection,
    /// The discovery watch in use.
    pub discovery_watch: ActiveConnection,
    /// Health of the subscription to the relay.
    pub relay_health: PeerHealth,
    /// Health of the discovery watch.
    pub discovery_health: PeerHealth,
    /// One permit for each queued page: taken by the watch before it sends a page, returned by the controller thread.
    pub page_permits: Semphore,
    /// Numbers of open descriptors by use.
    pub descriptors: OpenDescriptors,
    /// Counters of calls and subscriptions.
    pub relay_counters: RelayCounters,
    /// Counters of rejected messages and connections.
    pub rejections: Rejections,
    status: Mutex<ControllerStatus>,
}

impl SharedState {
    /// The state at the start of the process, without connections.
    pub fn new(config: &NodeConfig) -> Arc<SharedState> {
        Arc::new(SharedState {
            inbox: new_inbox(),
            names: config.names.clone(),
            slice_count: config.controller.slice_count,
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

    /// The last published status of the controller.
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
