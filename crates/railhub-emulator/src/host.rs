//! An emulated host: cores, a queue, a slow start, and the faults that a scenario injects.
//!
//! Its process is down, cold or warm; it is started and killed by the scenario. Each start is a new process, and what
//! an earlier one had in hand is lost.
mod connections;
mod duplicates;
mod execution;
mod faults;
mod utilization;

pub use duplicates::{SeenOperations, SharedSeenOperations};
pub use faults::HostFaults;
pub use utilization::UtilizationMeter;

use crate::operation::OperationClass;
use may::sync::Mutex;
use railhub_net::{now, FrameWriter, Listener};
use railhub_proto::Operation;
use railhub_record::{EventKind, HostStarted, HostStopped, Recorder};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};

/// What a host is. Times in seconds.
#[derive(Clone, Debug)]
pub struct HostConfig {
    /// Its zone's number.
    pub zone: u32,
    /// Its kind's number.
    pub kind: u16,
    /// Operations that it works on at a time.
    pub cores: usize,
    /// Core seconds at speed 1 that a core does in a second.
    pub speed: f64,
    /// Operations that may wait for a core; further ones are rejected.
    pub max_queued: usize,
    /// Fraction of its capacity that it has when it starts cold.
    pub cold_capacity_fraction: f64,
    /// Seconds from a cold start until it has all of its capacity.
    pub warm_up_time: f64,
    /// Connections that may be open.
    pub max_connections: usize,
    /// Core seconds at speed 1 that a health check takes.
    pub health_check_work: f64,
    /// Seconds over which it measures the utilization that its responses carry; 0: they carry none.
    pub utilization_interval: f64,
    /// Fraction of the work saved for a cached key.
    pub cache_saving: f64,
    /// Seconds for which a key is cached after its use.
    pub cache_lifetime: f64,
}

/// An emulated host.
pub struct Host {
    /// Its address.
    pub address: SocketAddr,
    /// What it is.
    pub config: HostConfig,
    classes: Arc<Vec<OperationClass>>,
    seen_operations: SharedSeenOperations,
    recorder: Recorder,
    state: Mutex<HostState>,
}

#[derive(Default)]
struct HostState {
    alive: bool,
    /// Counts the starts and ends of the process, and so identifies it.
    process: u64,
    /// When the process started, in seconds.
    started_at: f64,
    /// The process started cold.
    cold: bool,
    faults: HostFaults,
    /// Cores in use.
    running: usize,
    queue: VecDeque<Job>,
    /// Keys of jobs in the queue that were cancelled.
    cancelled: BTreeSet<(u64, u64)>,
    /// When a key was last used, in seconds.
    cached_keys: BTreeMap<u64, f64>,
    connections: BTreeMap<u64, Arc<Mutex<FrameWriter>>>,
    last_connection: u64,
    responses: u64,
    utilization: UtilizationMeter,
}

/// An operation that a proxy sent.
struct Job {
    connection: u64,
    writer: Arc<Mutex<FrameWriter>>,
    operation: Operation,
    /// When it was received, in seconds.
    received_at: f64,
}

impl Job {
    /// The connection and the attempt.
    fn key(&self) -> (u64, u64) {
        (self.connection, self.operation.attempt_id)
    }
}

/// A host that listens; it stops listening when this is dropped.
pub struct ListeningHost {
    /// The host.
    pub host: Arc<Host>,
    _listener: Listener,
}

impl ListeningHost {
    /// Listens on a free port of 127.0.0.1. The process is down until [`Host::start`].
    ///
    /// # Errors
    /// If it cannot listen.
    pub fn open(
        config: HostConfig,
        classes: Arc<Vec<OperationClass>>,
        seen_operations: SharedSeenOperations,
        recorder: Recorder,
    ) -> io::Result<ListeningHost> {
        let accepting: Arc<OnceLock<Arc<Host>>> = Arc::default();
        let slot = accepting.clone();
        let listener = Listener::open(SocketAddr::from(([127, 0, 0, 1], 0)), move |stream, _| {
            if let Some(host) = accepting.get() {
                host.clone().accept(stream);
            }
        })?;
        let (address, state) = (listener.address, Mutex::default());
        let host = Arc::new(Host { address, config, classes, seen_operations, recorder, state });
        let _ = slot.set(host.clone());
        Ok(ListeningHost { host, _listener: listener })
    }
}

impl Host {
    fn with_state<T>(&self, act: impl FnOnce(&mut HostState) -> T) -> T {
        act(&mut self.state.lock().expect("no holder panics"))
    }

    /// Starts the process, cold or as if it had run for long. Returns when it started, in seconds.
    pub fn start(&self, cold: bool) -> f64 {
        let at = now();
        self.with_state(|state| {
            *state = HostState {
                alive: true,
                process: state.process + 1,
                started_at: at,
                cold,
                last_connection: state.last_connection,
                utilization: UtilizationMeter::new(at),
                ..HostState::default()
            };
        });
        let started = HostStarted {
            host: self.address.to_string(),
            zone: self.config.zone,
            cores: self.config.cores as f64,
            speed: self.config.speed,
            cold,
            cold_capacity_fraction: self.config.cold_capacity_fraction,
            warm_up_time: self.config.warm_up_time,
        };
        self.recorder.record(at, EventKind::HostStarted(started));
        at
    }

    /// Kills the process: what it had in hand is lost, and its connections break.
    ///
    /// # Panics
    /// If a holder of a connection panicked.
    pub fn kill(&self) {
        let connections = self.with_state(|state| {
            let was_alive = std::mem::replace(&mut state.alive, false);
            state.process += 1;
            state.queue.clear();
            was_alive.then(|| std::mem::take(&mut state.connections))
        });
        let Some(connections) = connections else { return };
        let stopped = HostStopped { host: self.address.to_string() };
        self.recorder.record(now(), EventKind::HostStopped(stopped));
        for writer in connections.values() {
            writer.lock().expect("no holder panics").close();
        }
    }

    /// Whether the process exists.
    pub fn is_alive(&self) -> bool {
        self.with_state(|state| state.alive)
    }

    /// Changes the injected faults.
    pub fn change_faults(&self, change: impl FnOnce(&mut HostFaults)) {
        self.with_state(|state| change(&mut state.faults));
    }
}
