//! An emulated host with a number of cores, a queue, reduced capacity after a cold start, and the faults that a
//! scenario injects.
//!
//! The host's process is down, cold or warm; the scenario starts and kills it. Each start is a new process, and the
//! operations that an earlier process had queued or running are lost.
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

/// Configuration of a host.
#[derive(Clone, Debug)]
pub struct HostConfig {
    /// Number of the host's zone.
    pub zone: u32,
    /// Number of the host's kind.
    pub kind: u16,
    /// Number of cores; each executes one operation at a time.
    pub cores: usize,
    /// Speed of a core: the work, in core seconds at speed 1, that it does per second.
    pub speed: f64,
    /// Maximum number of operations that wait for a core; further operations are rejected.
    pub max_queued: usize,
    /// Fraction of its capacity that the host has right after a cold start.
    pub cold_capacity_fraction: f64,
    /// Seconds from a cold start until the host has its full capacity.
    pub warm_up_time: f64,
    /// Maximum number of open proxy connections.
    pub max_connections: usize,
    /// Work of a health check, in core seconds at speed 1.
    pub health_check_work: f64,
    /// Seconds over which the utilization in responses is measured; 0 if responses do not contain it.
    pub utilization_interval: f64,
    /// Fraction of the work that a cached key saves.
    pub cache_saving: f64,
    /// Seconds for which a key stays cached after its last use.
    pub cache_lifetime: f64,
}

/// An emulated host.
pub struct Host {
    /// Address of the host.
    pub address: SocketAddr,
    /// Configuration of the host.
    pub config: HostConfig,
    classes: Arc<Vec<OperationClass>>,
    seen_operations: SharedSeenOperations,
    recorder: Recorder,
    state: Mutex<HostState>,
}

#[derive(Default)]
struct HostState {
    alive: bool,
    /// Identifies the process: incremented at each start and each end.
    process: u64,
    /// When the process started, in seconds.
    started_at: f64,
    /// Whether the process started cold.
    cold: bool,
    faults: HostFaults,
    /// Number of cores in use.
    running: usize,
    queue: VecDeque<Job>,
    /// Keys of queued jobs that have been cancelled.
    cancelled: BTreeSet<(u64, u64)>,
    /// When each cached key was last used, in seconds.
    cached_keys: BTreeMap<u64, f64>,
    connections: BTreeMap<u64, Arc<Mutex<FrameWriter>>>,
    /// Number of the latest connection.
    last_connection: u64,
    /// Number of responses so far, including those that a fault has dropped.
    responses: u64,
    utilization: UtilizationMeter,
}

/// An operation that was received from a proxy.
struct Job {
    connection: u64,
    writer: Arc<Mutex<FrameWriter>>,
    operation: Operation,
    /// When it was received, in seconds.
    received_at: f64,
}

impl Job {
    /// Identifies the job: its connection and attempt id.
    fn key(&self) -> (u64, u64) {
        (self.connection, self.operation.attempt_id)
    }
}

/// A host with its listener; dropping it closes the listener.
pub struct ListeningHost {
    /// The host.
    pub host: Arc<Host>,
    _listener: Listener,
}

impl ListeningHost {
    /// Opens a host that listens on a free port of 127.0.0.1. Its process is down until [`Host::start`].
    ///
    /// # Errors
    /// If the listener cannot be opened.
    pub fn open(
        config: HostConfig,
        classes: Arc<Vec<OperationClass>>,
        seen_operations: SharedSeenOperations,
        recorder: Recorder,
    ) -> io::Result<ListeningHost> {
        // The host needs the listener's address, and the listener needs the host.
        let accepting_host: Arc<OnceLock<Arc<Host>>> = Arc::default();
        let host_slot = accepting_host.clone();
        let listener = Listener::open(SocketAddr::from(([127, 0, 0, 1], 0)), move |stream, _| {
            if let Some(host) = accepting_host.get() {
                host.clone().accept(stream);
            }
        })?;
        let (address, state) = (listener.address, Mutex::default());
        let host = Arc::new(Host { address, config, classes, seen_operations, recorder, state });
        let _ = host_slot.set(host.clone());
        Ok(ListeningHost { host, _listener: listener })
    }
}

impl Host {
    fn with_state<T>(&self, action: impl FnOnce(&mut HostState) -> T) -> T {
        action(&mut self.state.lock().expect("no holder panics"))
    }

    /// Starts the process, either cold or fully warmed up. Returns the start time in seconds.
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

    /// Kills the process: its queued and running operations are lost, and its connections break.
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

    /// Whether the process is running.
    pub fn is_alive(&self) -> bool {
        self.with_state(|state| state.alive)
    }

    /// Changes the injected faults.
    pub fn change_faults(&self, change: impl FnOnce(&mut HostFaults)) {
        self.with_state(|state| change(&mut state.faults));
    }
}
