//! Starts and stops the membership thread.
use super::figures::MembershipFigures;
use super::lease_coordinator::{AtomicRunState, LeaseCoordinator, RunState, SharedFigures};
use super::settings::MembershipSettings;
use super::slice_sharing::SliceSharing;
use crate::core::Figures;
use railhub_membership::lease_manager::{LeaseManager, LeaseManagerOptions};
use railhub_membership::member::NodeMetadata;
use railhub_membership::packet;
use railhub_membership::swim::MembershipConfig;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{SystemTime, UNIX_EPOCH};

/// Time after a start before leases are requested, so that the other controllers are discovered first.
const SETTLE_TIME_SECONDS: f64 = 1.0;
/// Weight of this controller in the placement of slices.
const PLACEMENT_WEIGHT: f64 = 1.0;
/// Version of the program, announced to the other controllers.
const PROGRAM_VERSION: &str = env!("CARGO_PKG_VERSION");

/// The membership thread. Dropping it ends the thread without a message to the other controllers, as in a crash.
pub struct MembershipService {
    /// The address that the socket is bound to.
    pub address: SocketAddr,
    /// The process number under which the other controllers know this process.
    pub process: u64,
    run_state: Arc<AtomicRunState>,
    figures: Arc<Mutex<MembershipFigures>>,
    thread: Option<JoinHandle<()>>,
}

impl MembershipService {
    /// Starts the thread. `core_figures` is read for this controller's load; `sharing` is present if slices are shared;
    /// `slices` is the number of slices in the installation.
    ///
    /// # Errors
    /// The address cannot be bound, or the thread cannot be started.
    pub fn start(
        settings: &MembershipSettings,
        core_figures: Arc<Mutex<Figures>>,
        sharing: Option<SliceSharing>,
        slices: u16,
    ) -> io::Result<MembershipService> {
        let socket = UdpSocket::bind(settings.listen)?;
        let address = socket.local_addr()?;
        let figures = Arc::new(Mutex::new(MembershipFigures::default()));
        let shared_slices = sharing.as_ref().map_or(0, |sharing| sharing.slices);
        let coordinator = LeaseCoordinator::new(
            lease_manager(settings, address, shared_slices),
            settings.clock,
            socket,
            settings.installation.clone(),
            sharing,
            slices,
            SharedFigures { core: core_figures, membership: figures.clone() },
        );
        let process = coordinator.process();
        tracing::info!(controller = settings.id.0, process, %address, "membership started");
        let run_state = Arc::new(AtomicRunState::new());
        let thread_run_state = run_state.clone();
        let builder = std::thread::Builder::new().name("fleet".into());
        let thread = builder.spawn(move || coordinator.run(&thread_run_state))?;
        Ok(MembershipService { address, process, run_state, figures, thread: Some(thread) })
    }

    /// The thread's counters, updated once a second.
    pub fn figures(&self) -> MembershipFigures {
        self.figures.lock().expect("no holder panics").clone()
    }

    /// Hands the slices over, announces to the other controllers that this one leaves, and ends the thread.
    pub fn leave(&mut self) {
        self.end(RunState::Leaving);
    }

    fn end(&mut self, state: RunState) {
        self.run_state.request_end(state);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for MembershipService {
    fn drop(&mut self) {
        self.end(RunState::Stopping);
    }
}

fn lease_manager(settings: &MembershipSettings, address: SocketAddr, shared_slices: u16) -> LeaseManager {
    let process = settings.process.unwrap_or_else(process_number);
    let metadata = NodeMetadata {
        address: Some(settings.advertise.unwrap_or(address)),
        program_version: PROGRAM_VERSION.to_owned(),
        protocol_version: u32::from(packet::VERSION),
        settings_digest: settings.settings_digest,
        draining: false,
        store_unreachable: false,
    };
    let config = MembershipConfig {
        seeds: settings.join.clone(),
        forget_after: settings.forget_after,
        without: settings.disabled_safeguard,
    };
    let options = LeaseManagerOptions {
        id: settings.id,
        process,
        weights: &BTreeMap::from([(settings.id, PLACEMENT_WEIGHT)]),
        metadata,
        config,
        slices: shared_slices,
        lease_duration: settings.lease_duration,
        settle_time: SETTLE_TIME_SECONDS,
        seed: process,
    };
    LeaseManager::new(&options, settings.clock.now())
}

/// Microseconds since 1970. This is higher than the number of any earlier process of this controller unless the clock
/// was set back; the other controllers report that case.
fn process_number() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_micros() as u64
}
