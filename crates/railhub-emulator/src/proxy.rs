//! An emulated proxy: looks up the table of an operation's slice, applies the admission rate, picks a host that is not
//! excluded, and sends the operation to it. All other decisions are made by the controllers.
mod controller_streams;
mod requests;
mod tampering;

use crate::fenced_routing::FencedRouting;
use crate::host_connection::HostConnection;
use crate::load_totals::LoadTotals;
use crate::operation::{OperationClass, PlannedOperation};
use crate::routing::{BalancingPolicy, Table};
use crate::sabotage::Sabotage;
use crate::update_channel::UpdateChannel;
use crate::zone_links::ZoneLinks;
use may::sync::Mutex;
use railhub_net::{now, FrameWriter};
use railhub_record::Recorder;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicI64};
use std::sync::Arc;

/// Configuration of a proxy.
#[derive(Clone, Debug)]
pub struct ProxyConfig {
    /// Number of the proxy.
    pub number: u32,
    /// Number of the proxy's zone.
    pub zone: u32,
    /// How the proxy picks among the usable hosts.
    pub policy: BalancingPolicy,
    /// Seconds for which an operation waits for a usable host.
    pub no_host_timeout: f64,
    /// Fraction of the contract time after which an attempt that can be retried times out.
    pub first_attempt_timeout_fraction: f64,
    /// Timeout for connecting to a host, in seconds.
    pub connect_timeout: f64,
    /// Seconds between load reports.
    pub report_interval: f64,
    /// Seconds by which load reports are delayed.
    pub report_delay: f64,
    /// Maximum delay in seconds before a reconnection to a controller; doubled at the second failure in a row and again
    /// at the third.
    pub max_reconnect_delay: f64,
    /// Seed of the proxy's random number generator.
    pub seed: u64,
}

/// State that the emulated processes of one run share.
#[derive(Clone)]
pub struct Environment {
    /// The classes of operations, in the order of their numbers.
    pub classes: Arc<Vec<OperationClass>>,
    /// Address of each controller; `None` while the controller is not running.
    pub controllers: Arc<Mutex<Vec<Option<SocketAddr>>>>,
    /// Zone of each host.
    pub zones: Arc<Mutex<BTreeMap<SocketAddr, u32>>>,
    /// The links between zones.
    pub links: ZoneLinks,
    /// The update channel.
    pub channel: UpdateChannel,
    /// Recorder of the run's events.
    pub recorder: Recorder,
    /// Milliseconds by which load reports are delayed in addition to the proxy's `report_delay`.
    pub extra_report_delay_ms: Arc<AtomicI64>,
    /// The host that started last, for [`Sabotage::FloodsColdHosts`].
    pub newest_host: Arc<Mutex<Option<SocketAddr>>>,
}

/// A request of a client.
#[derive(Clone, Copy, Debug)]
pub struct ProxyRequest {
    /// The requested operation.
    pub operation: PlannedOperation,
    /// Number of the request among the client's requests for this operation, from 1.
    pub request: u32,
    /// Seconds for which the client waits.
    pub timeout: f64,
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyOutcome {
    /// A host completed the operation.
    Completed,
    /// The operation was certainly not executed.
    Rejected,
    /// The operation may have been executed.
    Failed,
}

/// An emulated proxy.
pub struct Proxy {
    /// Configuration of the proxy.
    pub config: ProxyConfig,
    environment: Environment,
    routing: Mutex<FencedRouting>,
    hosts: Mutex<BTreeMap<SocketAddr, Arc<HostConnection>>>,
    load: Mutex<LoadTotals>,
    rng: Mutex<ChaCha8Rng>,
    /// Open streams, by the number of the controller.
    streams: Mutex<BTreeMap<usize, Arc<Mutex<FrameWriter>>>>,
    /// Whether the next delta is rejected.
    reject_next: AtomicBool,
    sabotage: Option<Sabotage>,
    /// Hosts that have been excluded at any time, for [`Sabotage::IgnoresExclusions`].
    once_excluded: Mutex<BTreeSet<SocketAddr>>,
}

impl Proxy {
    /// Creates a proxy with initial tables, which is not connected yet.
    ///
    /// # Panics
    /// If a holder of the environment panicked.
    pub fn new(
        config: ProxyConfig,
        environment: Environment,
        tables: BTreeMap<u32, Table>,
        sabotage: Option<Sabotage>,
    ) -> Arc<Proxy> {
        let rng = ChaCha8Rng::seed_from_u64(config.seed);
        let controllers = environment.controllers.lock().expect("no holder panics").len();
        Arc::new(Proxy {
            config,
            environment,
            routing: Mutex::new(FencedRouting::with_tables(tables, controllers)),
            hosts: Mutex::new(BTreeMap::new()),
            load: Mutex::new(LoadTotals::new(now())),
            rng: Mutex::new(rng),
            streams: Mutex::default(),
            reject_next: AtomicBool::new(false),
            sabotage,
            once_excluded: Mutex::new(BTreeSet::new()),
        })
    }

    /// Closes the connections to hosts.
    ///
    /// # Panics
    /// If a holder of a connection panicked.
    pub fn close(&self) {
        for connection in self.hosts.lock().expect("no holder panics").values() {
            connection.close();
        }
    }

    /// A random number from 0 to 1 (exclusive).
    fn random(&self) -> f64 {
        self.rng.lock().expect("no holder panics").random()
    }
}
