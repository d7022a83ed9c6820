//! Starts the components of a controller in order of their dependencies, and stops them.
use crate::core::Figures;
use crate::delta_queue::MessageQuota;
use crate::endpoint_list_poller;
use crate::health_checker;
use crate::inbox::{inbox, Inbox, OwnerEvent};
use crate::lease_table::LeaseTable;
use crate::membership::{MembershipFigures, MembershipService, SliceSharing};
use crate::owner::Owner;
use crate::process_environment::CommandTargets;
use crate::settings::ControllerSettings;
use crate::store::StoreWriter;
use crate::stream_server::{StreamLimits, StreamServer};
use crate::traffic_writer::TrafficWriter;
use railhub_net::{now, Listener, Task};
use railhub_trace::file::TraceError;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use thiserror::Error;

/// Why a controller cannot start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The address for proxies cannot be bound.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// The traffic file cannot be created.
    #[error("cannot write traffic: {0}")]
    Traffic(#[from] TraceError),
    /// The address for other controllers cannot be bound.
    #[error("cannot listen for other controllers on {0}: {1}")]
    Membership(SocketAddr, std::io::Error),
}

/// A running controller; dropping it stops it.
pub struct RunningController {
    /// Address on which proxies connect.
    pub address: SocketAddr,
    inbox: Arc<Inbox>,
    figures: Arc<Mutex<Figures>>,
    owner: Option<JoinHandle<()>>,
    listener: Listener,
    _endpoint_list: Task,
    membership: Option<MembershipService>,
}

impl RunningController {
    /// Starts a controller.
    ///
    /// # Errors
    /// An address cannot be bound, or the traffic file cannot be created.
    pub fn start(settings: ControllerSettings) -> Result<RunningController, StartError> {
        let traffic = TrafficWriter::start(&settings, now())?;
        let inbox = Arc::new(inbox());
        let figures = Arc::new(Mutex::new(Figures::default()));
        let leases = lease_table(&settings);
        let listener = listen(&settings, &inbox, leases.clone())?;
        let store = start_store(&settings, &inbox);
        let sharing = store.clone().zip(leases).map(|(store, leases)| SliceSharing {
            store,
            inbox: inbox.clone(),
            leases,
            slices: settings.config.slice_count,
            ignores_lease_expiry: ignores_lease_expiry(&settings),
        });
        let membership = start_membership(&settings, &figures, sharing)?;
        let health_checker = health_checker::start(
            settings.max_concurrent_health_checks,
            settings.health_check_timeout,
            &inbox,
        );
        let endpoint_list = endpoint_list_poller::start(settings.endpoint_list, inbox.clone());
        // Where controllers share the slices, versions carry the process number under which the leases are held.
        let shares_slices = settings.shares_slices();
        let incarnation = membership.as_ref().filter(|_| shares_slices).map(|service| service.process);
        let targets = CommandTargets { health_checker, store, traffic };
        let owner = Owner::new(settings, incarnation, inbox.clone(), targets, figures.clone());
        let owner = std::thread::spawn(move || owner.run());
        let address = listener.address;
        tracing::info!(%address, "controller listening");
        Ok(RunningController {
            address,
            inbox,
            figures,
            owner: Some(owner),
            listener,
            _endpoint_list: endpoint_list,
            membership,
        })
    }

    /// The core's figures.
    pub fn figures(&self) -> Figures {
        self.figures.lock().expect("no holder panics").clone()
    }

    /// Address on which other controllers reach this one, if it is in a membership.
    pub fn membership_address(&self) -> Option<SocketAddr> {
        self.membership.as_ref().map(|service| service.address)
    }

    /// The process number, which differs for each process of the controller, if it is in a membership.
    pub fn membership_process(&self) -> Option<u64> {
        self.membership.as_ref().map(|service| service.process)
    }

    /// The figures of the membership, if the controller is in one.
    pub fn membership_figures(&self) -> Option<MembershipFigures> {
        self.membership.as_ref().map(MembershipService::figures)
    }

    /// Hands its slices over and announces to the other controllers that this one leaves.
    pub fn leave(&mut self) {
        if let Some(service) = &mut self.membership {
            service.leave();
        }
    }

    /// Connections that could not be accepted.
    pub fn failed_connections(&self) -> u64 {
        self.listener.failed()
    }
}

impl Drop for RunningController {
    fn drop(&mut self) {
        self.inbox.send(OwnerEvent::Stop);
        if let Some(owner) = self.owner.take() {
            let _ = owner.join();
        }
    }
}

fn ignores_lease_expiry(settings: &ControllerSettings) -> bool {
    settings.membership.as_ref().is_some_and(|membership| membership.ignores_lease_expiry())
}

/// The leases that stream writers check before they publish, if controllers share the slices.
fn lease_table(settings: &ControllerSettings) -> Option<Arc<LeaseTable>> {
    let membership = settings.membership.as_ref().filter(|membership| membership.share)?;
    Some(Arc::new(LeaseTable::new(membership.clock, membership.ignores_lease_expiry())))
}

fn listen(
    settings: &ControllerSettings,
    inbox: &Arc<Inbox>,
    leases: Option<Arc<LeaseTable>>,
) -> Result<Listener, StartError> {
    let config = &settings.config;
    let limits = StreamLimits {
        subscribe_timeout: settings.subscribe_timeout,
        idle_timeout: settings.idle_timeout,
        max_streams: settings.max_streams,
        quota: MessageQuota { max_messages: config.message_quota, window: config.message_quota_window },
    };
    let server = Arc::new(StreamServer::new(limits, inbox.clone(), leases));
    let listener = Listener::open(settings.listen, move |connection, _| server.serve(connection));
    listener.map_err(|error| StartError::Listen(settings.listen, error))
}

fn start_store(settings: &ControllerSettings, inbox: &Arc<Inbox>) -> Option<Arc<StoreWriter>> {
    let store = settings.store?;
    Some(Arc::new(if settings.shares_slices() {
        StoreWriter::start_sharing(store)
    } else {
        StoreWriter::start_alone(store, inbox.clone())
    }))
}

fn start_membership(
    settings: &ControllerSettings,
    figures: &Arc<Mutex<Figures>>,
    sharing: Option<SliceSharing>,
) -> Result<Option<MembershipService>, StartError> {
    let Some(membership) = &settings.membership else { return Ok(None) };
    let slices = settings.config.slice_count;
    match MembershipService::start(membership, figures.clone(), sharing, slices) {
        Ok(service) => Ok(Some(service)),
        Err(error) => Err(StartError::Membership(membership.listen, error)),
    }
}
