//! The running cluster of a scenario: hosts, endpoint list, store, proxies and controllers, and the operations by which
//! faults change them.
use crate::cluster_hosts::{ClusterHosts, InitialHosts};
use crate::controllers::Controllers;
use crate::draw;
use crate::fault::{FaultKind, ScheduledFault};
use crate::initial_state::{initial_tables, proxy_config, Tables};
use crate::launch::{ControllerLauncher, LaunchError};
use crate::scenario::Scenario;
use may::sync::Mutex;
use railhub_emulator::endpoint_list::EndpointList;
use railhub_emulator::proxy::{Environment, Proxy};
use railhub_emulator::store::Store;
use railhub_emulator::update_channel::UpdateChannel;
use railhub_emulator::zone_links::ZoneLinks;
use railhub_emulator::Sabotage;
use railhub_net::{now, Task};
use railhub_record::{ControllerLifecycle, EventKind, Limits, Recorder};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Seconds from the start of the cluster to scenario time 0, in which its members connect to each other.
const JOIN_SECONDS: f64 = 2.0;
/// Distance between the indexes of sabotaged proxies where a few of them suffice to violate an invariant.
const SABOTAGED_PROXY_STEP: usize = 6;

/// A running cluster.
pub(crate) struct Cluster {
    pub scenario: Arc<Scenario>,
    /// Scenario time 0 on the clock of this process, in seconds.
    pub started_at: f64,
    pub environment: Environment,
    pub list: Arc<EndpointList>,
    pub store: Store,
    pub proxies: Vec<Arc<Proxy>>,
    pub hosts: ClusterHosts,
    launch: Option<ControllerLauncher>,
    controllers: Controllers,
    /// Held while a controller is restarted: two faults may restart the same one at the same time.
    restart_lock: std::sync::Mutex<()>,
    tasks: Mutex<Vec<Task>>,
}

impl Cluster {
    /// Starts hosts, list, store and proxies; [`Cluster::launch_controller`] starts the controllers. Without `launch`
    /// proxies keep their initial tables.
    ///
    /// # Errors
    /// One of them cannot listen on a port.
    pub fn open(
        scenario: &Scenario,
        recorder: &Recorder,
        launch: Option<ControllerLauncher>,
        sabotage: Option<Sabotage>,
    ) -> io::Result<Arc<Cluster>> {
        let scenario = Arc::new(scenario.clone());
        let classes = Arc::new(scenario.emulated_classes());
        let host_configs = draw::hosts(&scenario, scenario.hosts, "hosts");
        let hosts = InitialHosts::open(&host_configs, &classes, recorder)?;
        let tables = initial_tables(&scenario, &host_configs, &hosts.addresses());
        let list = Arc::new(EndpointList::open(recorder.clone())?);
        list.update(hosts.entries());
        let environment = Environment {
            classes,
            controllers: Arc::new(Mutex::new(vec![None; scenario.controllers])),
            zones: Arc::new(Mutex::new(hosts.zones())),
            links: ZoneLinks::default(),
            channel: UpdateChannel::new(scenario.update_lines_per_second, scenario.limits.message_cost),
            recorder: recorder.clone(),
            extra_report_delay_ms: Arc::default(),
            newest_host: Arc::default(),
        };
        let proxies = open_proxies(&scenario, &environment, &tables, sabotage);
        let store = open_store(&scenario, tables, recorder)?;
        let controllers = Controllers::open(&scenario, &list, store.address)?;
        Ok(Arc::new(Cluster {
            started_at: now() + JOIN_SECONDS,
            hosts: ClusterHosts::new(scenario.clone(), environment.clone(), list.clone(), hosts),
            scenario,
            environment,
            list,
            store,
            proxies,
            launch,
            controllers,
            restart_lock: std::sync::Mutex::default(),
            tasks: Mutex::default(),
        }))
    }

    fn record(&self, at: f64, kind: EventKind) {
        self.environment.recorder.record(at, kind);
    }

    /// Records the limits of the invariants as the first event.
    pub fn record_limits(&self) {
        let (from, until) = (self.started_at, self.started_at + self.scenario.length);
        self.record(0.0, EventKind::Limits(Limits { from, until, ..self.scenario.limits.clone() }));
    }

    /// Records that a fault begins or ends. `channel_slowdown` is the factor by which updates are slower from now on; 0
    /// if the fault does not change it.
    pub fn record_fault(&self, fault: &ScheduledFault, active: bool, channel_slowdown: f64) {
        let event = railhub_record::InjectedFault {
            name: fault.recorded_name(),
            active,
            note: fault.kind.recorded_note(),
            channel_slowdown,
        };
        self.record(now(), EventKind::InjectedFault(event));
    }

    /// Calls `act` with a fraction of the proxies, at least one, chosen for a fault.
    pub fn for_chosen_proxies(&self, fraction: f64, fault_index: usize, act: impl Fn(&Proxy)) {
        let all: Vec<usize> = (0..self.proxies.len()).collect();
        let count = (fraction * all.len() as f64).round() as usize;
        for proxy in draw::choose_targets(&self.scenario, fault_index, &all, count.max(1)) {
            act(&self.proxies[proxy]);
        }
    }

    /// Adds to the delay of load reports, in seconds; a negative value reduces it.
    pub fn add_report_delay(&self, delay: f64) {
        let milliseconds = (delay * 1000.0).round() as i64;
        self.environment.extra_report_delay_ms.fetch_add(milliseconds, Ordering::Relaxed);
    }

    /// Launches a controller and lets the proxies connect to it. Blocks the thread until it listens: must not be called
    /// in a coroutine.
    ///
    /// # Errors
    /// The controller does not start.
    pub fn launch_controller(&self, controller: usize) -> Result<(), LaunchError> {
        let Some(launch) = &self.launch else { return Ok(()) };
        let (list, store) = (self.list.address, self.store.address);
        let address = self.controllers.launch(&self.scenario, launch, controller, list, store)?;
        self.record_process(controller, true);
        self.set_controller_address(controller, Some(address));
        Ok(())
    }

    fn set_controller_address(&self, controller: usize, address: Option<SocketAddr>) {
        self.environment.controllers.lock().expect("no holder panics")[controller] = address;
    }

    fn record_controller(&self, event: ControllerLifecycle) {
        self.record(now(), EventKind::ControllerLifecycle(event));
    }

    fn record_process(&self, controller: usize, running: bool) {
        let clock_set_back = self.scenario.clocks.get(controller).is_some_and(|clock| clock.jumps_by < 0.0);
        self.record_controller(ControllerLifecycle {
            running,
            controller: controller as u32,
            paused: false,
            clock_set_back,
        });
    }

    /// Restarts a controller, on a thread of its own because launching blocks.
    pub fn restart_controller(self: &Arc<Cluster>, controller: usize) {
        let cluster = self.clone();
        std::thread::spawn(move || {
            // Another fault may have restarted it meanwhile.
            let _restart_guard = cluster.restart_lock.lock().expect("no holder panics");
            if cluster.controllers.is_running(controller) {
                return;
            }
            if let Err(error) = cluster.launch_controller(controller) {
                tracing::error!(%error, controller, "controller restart failed");
            }
        });
    }

    /// Kills a controller's process.
    pub fn kill_controller(&self, controller: usize) {
        self.set_controller_address(controller, None);
        if self.controllers.kill(controller) {
            self.record_process(controller, false);
        }
    }

    /// Pauses or resumes a controller's process.
    pub fn pause_controller(&self, controller: usize, paused: bool) {
        self.controllers.pause(controller, paused);
        self.record_controller(ControllerLifecycle {
            running: true,
            controller: controller as u32,
            paused,
            clock_set_back: false,
        });
    }

    /// Asks a controller to hand over its slices.
    pub fn drain_controller(&self, controller: usize) {
        self.controllers.drain(&self.scenario, controller);
    }

    /// Begins a fault of the links between controllers, list, store and proxies, or ends it (`None`).
    pub fn set_link_fault(&self, fault_index: usize, kind: Option<&FaultKind>) {
        self.controllers.set_link_fault(fault_index, kind);
    }

    /// Connects the proxies to the controllers, if there are any.
    pub fn connect_proxies(&self) {
        if self.launch.is_some() {
            let mut tasks = self.tasks.lock().expect("no holder panics");
            tasks.extend(self.proxies.iter().flat_map(|proxy| proxy.follow_controllers()));
        }
    }

    /// Stops the controllers, the proxies and the hosts.
    pub fn close(&self) {
        self.tasks.lock().expect("no holder panics").clear();
        for controller in 0..self.controllers.count() {
            self.kill_controller(controller);
        }
        for proxy in &self.proxies {
            proxy.break_streams();
            proxy.close();
        }
        self.hosts.close();
    }
}

fn open_proxies(
    scenario: &Scenario,
    environment: &Environment,
    tables: &Tables,
    sabotage: Option<Sabotage>,
) -> Vec<Arc<Proxy>> {
    let mut proxies = Vec::new();
    for index in 0..scenario.proxies {
        // Overloading a cold host takes all proxies; a few suffice to violate the other invariants.
        let sabotage =
            sabotage.filter(|kind| index % SABOTAGED_PROXY_STEP == 0 || *kind == Sabotage::FloodsColdHosts);
        let config = proxy_config(scenario, index);
        proxies.push(Proxy::new(config, environment.clone(), tables.clone(), sabotage));
    }
    proxies
}

/// Opens the store. It records writes only if there are several controllers.
fn open_store(scenario: &Scenario, tables: Tables, recorder: &Recorder) -> io::Result<Store> {
    let recorder = (scenario.controllers > 1).then(|| recorder.clone());
    Store::open_with(tables, scenario.lease_duration, recorder, scenario.store_faults)
}
