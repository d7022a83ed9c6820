//! An emulated proxy: looks up the slice's table, applies the admission rate, picks a host that is not excluded, and
//! sends; decides nothing else.
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

/// What a proxy is. Times in seconds.
#[derive(Clone, Debug)]
pub struct ProxyConfig {
    /// Its number.
    pub number: u32,
    /// Its zone's number.
    pub zone: u32,
    /// How it picks a host.
    pub policy: BalancingPolicy,
    /// Seconds that an operation waits for a usable host.
    pub no_host_timeout: f64,
    /// Fraction of the contract time after which an attempt that can be retried times out.
    pub first_attempt_timeout_fraction: f64,
    /// Seconds to connect to a host.
    pub connect_timeout: f64,
    /// Seconds between load reports.
    pub report_interval: f64,
    /// Seconds by which load reports are late.
    pub report_delay: f64,
    /// Longest wait before it connects to a controller again.
    pub max_reconnect_delay: f64,
    /// Seed of its random numbers.
    pub seed: u64,
}

/// What the emulated processes of one run share.
#[derive(Clone)]
pub struct Environment {
    /// The classes of operations, in the order of their numbers.
    pub classes: Arc<Vec<OperationClass>>,
    /// Each controller's address, while it is there.
    pub controllers: Arc<Mutex<Vec<Option<SocketAddr>>>>,
    /// The hosts' zones.
    pub zones: Arc<Mutex<BTreeMap<SocketAddr, u32>>>,
    /// The links between zones.
    pub links: ZoneLinks,
    /// The update channel.
    pub channel: UpdateChannel,
    /// Where events are recorded.
    pub recorder: Recorder,
    /// Milliseconds by which load reports are later than usual.
    pub extra_report_delay_ms: Arc<AtomicI64>,
    /// The host that started last, for [`Sabotage::FloodsColdHosts`].
    pub newest_host: Arc<Mutex<Option<SocketAddr>>>,
}

/// One request of a client.
#[derive(Clone, Copy, Debug)]
pub struct ProxyRequest {
    /// The operation.
    pub operation: PlannedOperation,
    /// Which request of the client for this operation, from 1.
    pub request: u32,
    /// Seconds that the client waits.
    pub timeout: f64,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyOutcome {
    /// A host completed it.
    Completed,
    /// It never ran.
    Rejected,
    /// It may have run.
    Failed,
}

/// An emulated proxy.
pub struct Proxy {
    /// What it is.
    pub config: ProxyConfig,
    environment: Environment,
    routing: Mutex<FencedRouting>,
    hosts: Mutex<BTreeMap<SocketAddr, Arc<HostConnection>>>,
    load: Mutex<LoadTotals>,
    rng: Mutex<ChaCha8Rng>,
    /// The open streams, by the controller's number.
    streams: Mutex<BTreeMap<usize, Arc<Mutex<FrameWriter>>>>,
    reject_next: AtomicBool,
    sabotage: Option<Sabotage>,
    /// Hosts that were excluded, for [`Sabotage::IgnoresExclusions`].
    once_excluded: Mutex<BTreeSet<SocketAddr>>,
}

impl Proxy {
    /// A proxy with tables in place, not connected yet.
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

    fn random(&self) -> f64 {
        self.rng.lock().expect("no holder panics").random()
    }
}
