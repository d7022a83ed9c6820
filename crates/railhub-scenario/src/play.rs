//! Plays a scenario on loopback: starts the cluster, runs operations, injects faults, and waits for the end.
use crate::cluster::Cluster;
use crate::draw::{self, Arrival};
use crate::inject::inject;
use crate::launch::{ControllerLauncher, LaunchError};
use crate::scenario::Scenario;
use may::sync::WaitGroup;
use railhub_emulator::client;
use railhub_emulator::Sabotage;
use railhub_net::{now, seconds, spawn};
use railhub_record::{Event, RecordError, Recorder};
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Seconds that the cluster continues to run after the last operation and fault have ended.
const RUN_ON_SECONDS: f64 = 1.0;
/// Longest delay of a scenario's start, in seconds: shorter than the waiting time of any operation.
const MAX_START_DELAY_SECONDS: f64 = 0.05;
/// Seconds between calls that report progress.
const PROGRESS_INTERVAL_SECONDS: f64 = 0.1;

/// The result of a run.
pub struct ScenarioRun {
    /// The recorded events in the order of their times; empty if they were written to a file.
    pub events: Vec<Event>,
}

/// Why a scenario was not played to its end.
#[derive(Debug, thiserror::Error)]
pub enum PlayError {
    /// The recording cannot be written.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// A part of the emulated cluster cannot listen on a port.
    #[error("cannot start the emulated cluster: {0}")]
    Cluster(#[source] io::Error),
    /// A controller does not start.
    #[error(transparent)]
    Launch(#[from] LaunchError),
    /// The cluster took too long to start.
    #[error(
        "the scenario would begin {delay:.2} s late ({MAX_START_DELAY_SECONDS} s are allowed), and its first \
         operations all at once: the cluster took too long to start"
    )]
    StartedLate {
        /// The delay of the scenario's start, in seconds.
        delay: f64,
    },
}

/// Plays a scenario in a cluster of its own and waits for its end. Without `launch` no controller runs and proxies keep
/// their initial tables. Events are written to the file `record` if it is given; `progress` is called with the seconds
/// played.
///
/// # Errors
/// The cluster or a controller does not start in time, or the recording fails.
pub fn play(
    scenario: &Scenario,
    launch: Option<ControllerLauncher>,
    sabotage: Option<Sabotage>,
    record: Option<&Path>,
    progress: &(dyn Fn(f64) + Sync),
) -> Result<ScenarioRun, PlayError> {
    // Drawn before scenario time starts: drawing takes long, and operations that it delayed would all begin at once.
    let capacity = draw::capacity(&draw::hosts(scenario, scenario.hosts, "hosts"));
    let arrivals = draw::arrivals(scenario, capacity);
    let recorder = Recorder::start(record)?;
    let cluster = start_cluster(scenario, &recorder, launch, sabotage)?;
    let ended = spawn_run(&cluster, arrivals);
    while !ended.load(Ordering::Acquire) {
        progress(now() - cluster.started_at);
        std::thread::sleep(seconds(PROGRESS_INTERVAL_SECONDS));
    }
    cluster.close();
    Ok(ScenarioRun { events: recorder.finish()? })
}

/// Starts the cluster and waits for scenario time 0.
fn start_cluster(
    scenario: &Scenario,
    recorder: &Recorder,
    launch: Option<ControllerLauncher>,
    sabotage: Option<Sabotage>,
) -> Result<Arc<Cluster>, PlayError> {
    let cluster = Cluster::open(scenario, recorder, launch, sabotage).map_err(PlayError::Cluster)?;
    for controller in 0..scenario.controllers {
        cluster.launch_controller(controller)?;
    }
    cluster.connect_proxies();
    std::thread::sleep(seconds(cluster.started_at - now()));
    cluster.record_limits();
    let delay = now() - cluster.started_at;
    if delay > MAX_START_DELAY_SECONDS {
        cluster.close();
        return Err(PlayError::StartedLate { delay });
    }
    Ok(cluster)
}

/// Runs all faults and operations in coroutines. The returned flag is set after the last one has ended.
fn spawn_run(cluster: &Arc<Cluster>, arrivals: Vec<Arrival>) -> Arc<AtomicBool> {
    let ended = Arc::new(AtomicBool::new(false));
    let (cluster, run_ended) = (cluster.clone(), ended.clone());
    spawn(move || {
        let running = WaitGroup::new();
        spawn_faults(&cluster, &running);
        spawn_operations(&cluster, arrivals, &running);
        running.wait();
        may::coroutine::sleep(seconds(RUN_ON_SECONDS));
        run_ended.store(true, Ordering::Release);
    });
    ended
}

fn spawn_faults(cluster: &Arc<Cluster>, running: &WaitGroup) {
    for (number, fault) in cluster.scenario.faults.iter().enumerate() {
        let (cluster, fault, running) = (cluster.clone(), fault.clone(), running.clone());
        spawn(move || {
            inject(&fault, number, &cluster);
            drop(running);
        });
    }
}

/// Spawns each operation at its time.
fn spawn_operations(cluster: &Arc<Cluster>, arrivals: Vec<Arrival>, running: &WaitGroup) {
    for arrival in arrivals {
        let (cluster, running) = (cluster.clone(), running.clone());
        may::coroutine::sleep(seconds(cluster.started_at + arrival.at - now()));
        spawn(move || {
            run_operation(&cluster, &arrival);
            drop(running);
        });
    }
}

fn run_operation(cluster: &Cluster, arrival: &Arrival) {
    let class = &cluster.environment.classes[arrival.drawn.class as usize];
    let proxy = &cluster.proxies[arrival.proxy];
    client::run(arrival.drawn, cluster.scenario.clients, class, proxy, &cluster.environment.recorder);
}
