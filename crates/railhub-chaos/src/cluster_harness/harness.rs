//! The harness of one run: the links, the processes, the observer and the queue of fault events.
use super::error::HarnessError;
use super::link_tap::{link_tap, LinkRecord};
use super::observer::{Observations, ObservedProcesses, Observer};
use super::process::ControllerProcess;
use super::settings::ControllerSettings;
use crate::config::ChaosConfig;
use crate::event_queue::EventQueue;
use crate::fault::{ActiveFaults, Fault};
use crate::view::observation::{Node, ViewObservation};
use crate::view::options::RunOptions;
use crate::view::timeline::end_of_run;
use railhub_fault_links::udp::UdpLinks;
use railhub_fault_links::{Faults, LinkController};
use railhub_net::{now, seconds};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// The parameters of a run on real processes.
#[derive(Clone, Debug)]
pub struct HarnessPlan<'a> {
    /// The chaos file, with the sizes of the run.
    pub config: &'a ChaosConfig,
    /// The seed of the run.
    pub seed: u64,
    /// The faults of the run.
    pub faults: &'a [Fault],
    /// Options of the run apart from its faults.
    pub options: RunOptions,
    /// The program that the controllers run.
    pub binary: &'a Path,
    /// The directory for settings, logs, the recording of the links and the observations.
    pub folder: &'a Path,
    /// Controllers whose addresses are in the settings of each controller, to join the cluster through.
    pub seed_controllers: Vec<u16>,
}

/// An event of the run.
#[derive(Clone, Copy)]
pub(super) enum ScheduledEvent {
    FaultBegins(usize),
    FaultEnds(usize),
    FlapToggle { index: usize, until: f64 },
}

/// A controller's endpoint on the links.
#[derive(Clone)]
pub(super) struct LinkEndpoint {
    pub name: String,
    /// The address to which other controllers send.
    pub public_address: SocketAddr,
}

pub(super) struct RunningProcess {
    pub process: Arc<ControllerProcess>,
    pub controller: u16,
    /// Name of the process's endpoint on the links.
    pub endpoint: String,
}

pub(super) struct ClusterHarness<'a> {
    pub plan: &'a HarnessPlan<'a>,
    installation: String,
    started_at: f64,
    pub links: UdpLinks,
    link_controller: Arc<LinkController>,
    processes: BTreeMap<Node, RunningProcess>,
    /// The latest process of each running controller; faults on the controller affect this one.
    pub current_nodes: BTreeMap<u16, Node>,
    /// The latest endpoint of each controller; a controller that moves gets another one.
    pub endpoints: BTreeMap<u16, LinkEndpoint>,
    last_node: usize,
    observed_processes: ObservedProcesses,
    observations: Observations,
    pub link_record: Arc<Mutex<LinkRecord>>,
    pub active_faults: ActiveFaults,
    /// Flags that stop the threads of the starvation faults in force, by index of the fault.
    pub starvation_stop_flags: BTreeMap<usize, Arc<AtomicBool>>,
    pub queue: EventQueue<ScheduledEvent>,
}

/// Plays one run until its end and returns the observations, ordered by time.
///
/// # Errors
/// A controller could not be started, a socket not be opened or a file not be written.
pub fn play(plan: &HarnessPlan) -> Result<Vec<ViewObservation>, HarnessError> {
    std::fs::create_dir_all(plan.folder).map_err(HarnessError::file(plan.folder))?;
    let mut harness = ClusterHarness::open(plan)?;
    harness.run()?;
    harness.finish()
}

/// The path of a directory for a run whose files are not kept, unique to this program and the seed.
pub fn temporary_folder(seed: u64) -> PathBuf {
    std::env::temp_dir().join(format!("railhub-bed-{}-{seed}", std::process::id()))
}

fn create_file(path: &Path) -> Result<BufWriter<File>, HarnessError> {
    File::create(path).map(BufWriter::new).map_err(HarnessError::file(path))
}

impl<'a> ClusterHarness<'a> {
    fn open(plan: &'a HarnessPlan<'a>) -> Result<ClusterHarness<'a>, HarnessError> {
        let record_file = create_file(&plan.folder.join("links.jsonl"))?;
        let link_controller = Arc::new(LinkController::new(plan.seed, Some(Box::new(record_file))));
        let installation = format!("chaos-{}", plan.seed);
        let started_at = now();
        let link_record = Arc::new(Mutex::new(LinkRecord::default()));
        let observations = Observations::default();
        let tap = link_tap(installation.clone(), started_at, link_record.clone(), observations.clone());
        let links = UdpLinks::open(link_controller.clone(), tap);
        let mut harness = ClusterHarness {
            plan,
            installation,
            started_at,
            links,
            link_controller,
            processes: BTreeMap::new(),
            current_nodes: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            last_node: 0,
            observed_processes: ObservedProcesses::default(),
            observations,
            link_record,
            active_faults: ActiveFaults::default(),
            starvation_stop_flags: BTreeMap::new(),
            queue: EventQueue::default(),
        };
        for controller in 0..plan.config.controllers {
            harness.add_endpoint(controller, controller.to_string())?;
        }
        harness.update_links();
        Ok(harness)
    }

    /// Seconds since the run began.
    pub(super) fn elapsed(&self) -> f64 {
        now() - self.started_at
    }

    pub(super) fn observe(&self, observation: ViewObservation) {
        self.observations.lock().expect("no holder panics").push(observation);
    }

    /// Adds an endpoint for a controller to the links; it replaces the one that the controller had.
    pub(super) fn add_endpoint(&mut self, controller: u16, name: String) -> Result<(), HarnessError> {
        let public_address = self.links.add(&name).map_err(HarnessError::LinkPort)?;
        self.endpoints.insert(controller, LinkEndpoint { name, public_address });
        Ok(())
    }

    fn settings(&self, controller: u16, process: Option<u64>) -> String {
        let seeds = self.plan.seed_controllers.iter().filter_map(|id| self.endpoints.get(id));
        let settings = ControllerSettings {
            controller,
            installation: &self.installation,
            public_address: self.endpoints[&controller].public_address,
            seeds: seeds.map(|endpoint| endpoint.public_address).collect(),
            process,
            forget_after: self.plan.options.forget_after,
            disabled_safeguard: self.plan.options.without,
        };
        settings.to_ini()
    }

    /// Starts a controller's process. Without a process number, the controller takes one from its clock.
    pub(super) fn start(&mut self, controller: u16, process: Option<u64>) -> Result<(), HarnessError> {
        self.last_node += 1;
        let node = Node(self.last_node);
        let settings = self.plan.folder.join(format!("steward-{controller}-{}.ini", node.0));
        let log = settings.with_extension("log");
        std::fs::write(&settings, self.settings(controller, process))
            .map_err(HarnessError::file(&settings))?;
        let process = ControllerProcess::start(self.plan.binary, &settings, &log)?;
        let endpoint = self.endpoints[&controller].name.clone();
        self.links.set_real_address(&endpoint, Some(process.cluster_address));
        self.observed_processes.lock().expect("no holder panics").insert(node, process.cluster_address);
        self.observe(ViewObservation::Started { at: self.elapsed(), node, controller });
        let running = RunningProcess { process: Arc::new(process), controller, endpoint };
        self.processes.insert(node, running);
        self.current_nodes.insert(controller, node);
        Ok(())
    }

    /// Ends a controller's process by calling `stop_process`.
    pub(super) fn stop(&mut self, controller: u16, stop_process: impl FnOnce(&ControllerProcess)) {
        let Some(node) = self.current_nodes.remove(&controller) else { return };
        let Some(running) = self.processes.remove(&node) else { return };
        self.observed_processes.lock().expect("no holder panics").remove(&node);
        self.observe_processor_time(node, &running.process);
        stop_process(&running.process);
        self.observe(ViewObservation::Ended { at: self.elapsed(), node, controller });
        if self.processes.values().all(|other| other.endpoint != running.endpoint) {
            self.links.set_real_address(&running.endpoint, None);
        }
    }

    fn observe_processor_time(&self, node: Node, process: &ControllerProcess) {
        if let Some(processor_seconds) = process.processor_seconds() {
            self.observe(ViewObservation::ProcessorTime { at: self.elapsed(), node, processor_seconds });
        }
    }

    pub(super) fn current_process(&self, controller: u16) -> Option<&RunningProcess> {
        self.processes.get(self.current_nodes.get(&controller)?)
    }

    /// Applies the faults in force to each direction between two endpoints, including the endpoints of earlier processes
    /// that still run.
    fn update_links(&self) {
        let faults = self.plan.faults;
        let base_faults = self.link_faults();
        let mut endpoints: BTreeMap<&str, u16> = BTreeMap::new();
        for running in self.processes.values() {
            endpoints.insert(&running.endpoint, running.controller);
        }
        for (controller, endpoint) in &self.endpoints {
            endpoints.insert(&endpoint.name, *controller);
        }
        for (from_name, from) in &endpoints {
            for (to_name, to) in endpoints.iter().filter(|(to_name, _)| *to_name != from_name) {
                let cut = self.active_faults.blocks(faults, *from, *to);
                let link_faults = Faults { cut, ..base_faults };
                if self.link_controller.faults(from_name, to_name) != link_faults {
                    self.link_controller.set(from_name, to_name, link_faults);
                }
            }
        }
    }

    fn link_faults(&self) -> Faults {
        let combined = self.active_faults.link_faults(self.plan.faults, self.plan.config.base_loss);
        Faults {
            lost: combined.loss,
            duplicated: combined.duplication,
            reordered: combined.reordering,
            delay: combined.delay,
            jitter: combined.jitter,
            ..Faults::default()
        }
    }

    fn run(&mut self) -> Result<(), HarnessError> {
        let config = self.plan.config;
        for (index, fault) in self.plan.faults.iter().enumerate() {
            self.queue.schedule(fault.at, ScheduledEvent::FaultBegins(index));
        }
        for controller in 0..config.controllers {
            if !config.late_joiners.contains(&controller) {
                self.start(controller, None)?;
            }
        }
        let observer = Observer::start(
            &self.installation,
            self.started_at,
            self.observed_processes.clone(),
            self.observations.clone(),
        );
        let _observer = observer.map_err(HarnessError::ObserverPort)?;
        while let Some((at, event)) = self.queue.pop() {
            std::thread::sleep(seconds(at - self.elapsed()));
            match event {
                ScheduledEvent::FaultBegins(index) => self.begin_fault(index)?,
                ScheduledEvent::FaultEnds(index) => self.end_fault(index)?,
                ScheduledEvent::FlapToggle { index, until } => self.flap(index, until)?,
            }
            self.update_links();
        }
        let end = end_of_run(config.length, self.plan.faults);
        std::thread::sleep(seconds(end - self.elapsed()));
        Ok(())
    }

    fn finish(self) -> Result<Vec<ViewObservation>, HarnessError> {
        for stop_flag in self.starvation_stop_flags.values() {
            stop_flag.store(true, Ordering::Release);
        }
        self.link_controller.finish();
        let at = self.elapsed();
        for (node, running) in &self.processes {
            self.observe_processor_time(*node, &running.process);
        }
        for running in self.processes.values() {
            running.process.kill();
        }
        let mut observations = std::mem::take(&mut *self.observations.lock().expect("no holder panics"));
        let link_record = self.link_record.lock().expect("no holder panics");
        observations.extend(link_record.tap.totals(at, self.plan.config.base_loss));
        observations.sort_by(|a, b| a.at().total_cmp(&b.at()));
        write_record(&self.plan.folder.join("seen.jsonl"), &observations)?;
        Ok(observations)
    }
}

fn write_record(path: &Path, observations: &[ViewObservation]) -> Result<(), HarnessError> {
    let mut record = create_file(path)?;
    for observation in observations {
        serde_json::to_writer(&mut record, observation)?;
        record.write_all(b"\n").map_err(HarnessError::file(path))?;
    }
    Ok(())
}
