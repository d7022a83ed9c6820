//! The emulated hosts of a running scenario, and their entries in the endpoint list.
//!
//! A host is listed as ready from its start, as draining while it is replaced, and as gone after it was stopped. Fault
//! injection addresses hosts by index; the index of a host does not change.
use crate::draw;
use crate::fault::PhantomBehavior;
use crate::scenario::Scenario;
use may::sync::Mutex;
use railhub_emulator::endpoint_list::{EndpointList, ListedEndpoint, DRAINING, GONE, READY};
use railhub_emulator::host::{Host, HostConfig, ListeningHost, SharedSeenOperations};
use railhub_emulator::proxy::Environment;
use railhub_emulator::OperationClass as EmulatedClass;
use railhub_record::Recorder;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// Seconds by which the list entry of a restarted host follows that of its crash.
const RESTART_ENTRY_DELAY_SECONDS: f64 = 0.05;

struct HostSlot {
    listening: ListeningHost,
    /// When its process last started cold; none if it never did.
    started: Option<f64>,
    weight: f64,
    is_phantom: bool,
    /// Whether it is being replaced, or was.
    is_leaving: bool,
}

impl HostSlot {
    fn new(listening: ListeningHost, is_phantom: bool) -> HostSlot {
        let weight = listening.host.config.cores as f64;
        HostSlot { listening, started: None, weight, is_phantom, is_leaving: false }
    }

    fn entry(&self, phase: &'static str) -> ListedEndpoint {
        let (host, kind) = (self.listening.host.address, self.listening.host.config.kind);
        ListedEndpoint { host, phase, started: self.started, weight: self.weight, kind }
    }

    /// Whether faults may affect it.
    fn is_regular(&self) -> bool {
        !self.is_phantom && !self.is_leaving
    }
}

/// The hosts at the start. They run before the rest of the cluster is opened.
pub(crate) struct InitialHosts {
    slots: Vec<HostSlot>,
    seen_operations: SharedSeenOperations,
}

impl InitialHosts {
    /// Opens and starts hosts, warm.
    ///
    /// # Errors
    /// A host cannot listen on a port.
    pub fn open(
        configs: &[HostConfig],
        classes: &Arc<Vec<EmulatedClass>>,
        recorder: &Recorder,
    ) -> io::Result<InitialHosts> {
        let seen_operations = SharedSeenOperations::default();
        let mut slots = Vec::new();
        for config in configs {
            let listening = ListeningHost::open(
                config.clone(),
                classes.clone(),
                seen_operations.clone(),
                recorder.clone(),
            )?;
            listening.host.start(false);
            slots.push(HostSlot::new(listening, false));
        }
        Ok(InitialHosts { slots, seen_operations })
    }

    /// Their addresses, by index.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.slots.iter().map(|slot| slot.listening.host.address).collect()
    }

    /// Their entries in the endpoint list.
    pub fn entries(&self) -> Vec<ListedEndpoint> {
        self.slots.iter().map(|slot| slot.entry(READY)).collect()
    }

    /// The zone of each address.
    pub fn zones(&self) -> BTreeMap<SocketAddr, u32> {
        let hosts = self.slots.iter().map(|slot| &slot.listening.host);
        hosts.map(|host| (host.address, host.config.zone)).collect()
    }
}

/// All hosts of a running scenario.
pub(crate) struct ClusterHosts {
    scenario: Arc<Scenario>,
    environment: Environment,
    list: Arc<EndpointList>,
    slots: Mutex<Vec<HostSlot>>,
    /// Indexes of the hosts that a fault has reserved.
    reserved: Mutex<BTreeSet<usize>>,
    seen_operations: SharedSeenOperations,
}

impl ClusterHosts {
    pub fn new(
        scenario: Arc<Scenario>,
        environment: Environment,
        list: Arc<EndpointList>,
        initial: InitialHosts,
    ) -> ClusterHosts {
        ClusterHosts {
            scenario,
            environment,
            list,
            slots: Mutex::new(initial.slots),
            reserved: Mutex::default(),
            seen_operations: initial.seen_operations,
        }
    }

    fn with_slots<T>(&self, access: impl FnOnce(&mut Vec<HostSlot>) -> T) -> T {
        access(&mut self.slots.lock().expect("no holder panics"))
    }

    fn matching(&self, matches: impl Fn(usize, &HostSlot) -> bool) -> Vec<usize> {
        self.with_slots(|slots| {
            let indexed = slots.iter().enumerate();
            indexed.filter(|(index, slot)| matches(*index, slot)).map(|(index, _)| index).collect()
        })
    }

    /// A host by its index.
    pub fn host(&self, index: usize) -> Arc<Host> {
        self.with_slots(|slots| slots[index].listening.host.clone())
    }

    /// The list entry of a host in a phase.
    pub fn entry(&self, index: usize, phase: &'static str) -> ListedEndpoint {
        self.with_slots(|slots| slots[index].entry(phase))
    }

    /// Chooses hosts for a fault and reserves them; fewer than `count` if no more are free. Hosts that are phantoms,
    /// are being replaced or are reserved by other faults are not free.
    pub fn reserve(&self, count: usize, fault_index: usize) -> Vec<usize> {
        let mut reserved = self.reserved.lock().expect("no holder panics");
        let free = self.matching(|index, slot| slot.is_regular() && !reserved.contains(&index));
        let chosen = draw::choose_targets(&self.scenario, fault_index, &free, count);
        reserved.extend(&chosen);
        chosen
    }

    /// Ends the reservation of these hosts, so that other faults may affect them.
    pub fn release(&self, hosts: &[usize]) {
        let mut reserved = self.reserved.lock().expect("no holder panics");
        for host in hosts {
            reserved.remove(host);
        }
    }

    /// The hosts of a zone that faults may affect.
    pub fn in_zone(&self, zone: u32) -> Vec<usize> {
        self.matching(|_, slot| slot.listening.host.config.zone == zone && slot.is_regular())
    }

    /// Kills a host's process; the endpoint list shows it after the removal delay.
    pub fn crash(&self, index: usize) {
        self.host(index).kill();
        self.list.update_after(self.scenario.list_removal_delay, vec![self.entry(index, GONE)]);
    }

    /// Starts a host's process again, cold, unless the host runs already or is being replaced.
    pub fn restart(&self, index: usize) {
        if self.with_slots(|slots| slots[index].is_leaving) || self.host(index).is_alive() {
            return;
        }
        let after_removal = self.scenario.list_removal_delay + RESTART_ENTRY_DELAY_SECONDS;
        self.start_cold(index, self.scenario.list_add_delay.max(after_removal));
    }

    /// Drains a host that is being replaced.
    pub fn drain(&self, index: usize) {
        self.with_slots(|slots| slots[index].is_leaving = true);
        self.host(index).change_faults(|faults| faults.drains = true);
        self.list.update_after(self.scenario.list_add_delay, vec![self.entry(index, DRAINING)]);
    }

    /// Stops a drained host.
    pub fn stop_drained(&self, index: usize) {
        self.host(index).kill();
        self.list.update_after(self.scenario.list_add_delay, vec![self.entry(index, GONE)]);
    }

    /// Adds a new host, cold.
    pub fn add(&self) {
        let scenario = &self.scenario;
        let count = self.with_slots(|slots| slots.len());
        let drawn = draw::hosts(scenario, scenario.hosts, &format!("host {count}"));
        let mut config = drawn[count % scenario.hosts].clone();
        config.zone = (count % scenario.zones.len()) as u32;
        if let Some(index) = self.open_host(config, false) {
            self.start_cold(index, scenario.list_add_delay);
        }
    }

    /// Opens a phantom host and returns its index, or none if it cannot listen on a port. The caller adds it to the
    /// endpoint list.
    pub fn add_phantom(&self, behavior: &PhantomBehavior) -> Option<usize> {
        let config = draw::hosts(&self.scenario, 1, "ghost").swap_remove(0);
        let index = self.open_host(config, true)?;
        let host = self.host(index);
        match behavior {
            PhantomBehavior::Refuse => {}
            PhantomBehavior::Error => {
                host.start(false);
                host.change_faults(|faults| faults.fails = true);
            }
            PhantomBehavior::Silent => {
                host.start(false);
                host.change_faults(|faults| faults.hangs = true);
            }
        }
        Some(index)
    }

    /// Stops all hosts.
    pub fn close(&self) {
        let hosts: Vec<Arc<Host>> =
            self.with_slots(|slots| slots.iter().map(|slot| slot.listening.host.clone()).collect());
        for host in hosts {
            host.kill();
        }
    }

    fn start_cold(&self, index: usize, list_delay: f64) {
        let host = self.host(index);
        let started = host.start(true);
        self.with_slots(|slots| slots[index].started = Some(started));
        self.list.update_after(list_delay, vec![self.entry(index, READY)]);
        *self.environment.newest_host.lock().expect("no holder panics") = Some(host.address);
    }

    fn open_host(&self, config: HostConfig, is_phantom: bool) -> Option<usize> {
        let zone = config.zone;
        let (classes, recorder) = (self.environment.classes.clone(), self.environment.recorder.clone());
        let opened = ListeningHost::open(config, classes, self.seen_operations.clone(), recorder);
        let listening =
            opened.inspect_err(|error| tracing::error!(%error, "host cannot listen on a port")).ok()?;
        self.environment.zones.lock().expect("no holder panics").insert(listening.host.address, zone);
        Some(self.with_slots(|slots| {
            slots.push(HostSlot::new(listening, is_phantom));
            slots.len() - 1
        }))
    }
}
