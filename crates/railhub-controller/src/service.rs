//! Starts a controller's parts in their order, and stops them.
use crate::core::Figures;
use crate::delta_queue::MessageQuota;
use crate::endpoint_list_poller;
use crate::health_checker;
use crate::inbox::{inbox, Inbox, OwnerEvent};
use crate::installation::Installation;
use crate::lease_table::LeaseTable;
use crate::membership::{MembershipFigures, MembershipService, SliceSharing};
use crate::owner::Owner;
use crate::process_environment::CommandTargets;
use crate::store::StoreWriter;
use crate::stream_server::{StreamLimits, StreamServer};
use crate::traffic_writer::TrafficWriter;
use railhub_net::{now, Listener, Task};
use railhub_trace::file::TraceError;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use thiserror::Error;

/// Why a controller does not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The address for proxies cannot be bound.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// The traffic file cannot be made.
    #[error("cannot write traffic: {0}")]
    Traffic(#[from] TraceError),
    /// The address for other controllers cannot be bound.
    #[error("cannot listen for other controllers on {0}: {1}")]
    Membership(SocketAddr, std::io::Error),
}

/// A controller that runs; dropping it stops it.
pub struct Running {
    /// Where proxies connect.
    pub address: SocketAddr,
    inbox: Arc<Inbox>,
    figures: Arc<Mutex<Figures>>,
    owner: Option<JoinHandle<()>>,
    listener: Listener,
    _endpoint_list: Task,
    membership: Option<MembershipService>,
}

impl Running {
    /// Starts a controller.
    ///
    /// # Errors
    /// An address cannot be bound, or the traffic file cannot be made.
    pub fn start(installation: Installation) -> Result<Running, StartError> {
        let traffic = TrafficWriter::start(&installation, now())?;
        let inbox = Arc::new(inbox());
        let figures = Arc::new(Mutex::new(Figures::default()));
        let leases = lease_table(&installation);
        let listener = listen(&installation, &inbox, leases.clone())?;
        let store = start_store(&installation, &inbox);
        let sharing = store.clone().zip(leases).map(|(store, leases)| SliceSharing {
            store,
            inbox: inbox.clone(),
            leases,
            slices: installation.config.slice_count,
            ignores_lease_expiry: ignores_lease_expiry(&installation),
        });
        let membership = start_membership(&installation, &figures, sharing)?;
        let health_checker = health_checker::start(
            installation.max_concurrent_health_checks,
            installation.health_check_timeout,
            &inbox,
        );
        let endpoint_list = endpoint_list_poller::start(installation.endpoint_list, inbox.clone());
        // Where controllers share the slices, versions and leases are of the same process.
        let shares = installation.shares();
        let incarnation = membership.as_ref().filter(|_| shares).map(|service| service.process);
        let targets = CommandTargets { health_checker, store, traffic };
        let owner = Owner::new(installation, incarnation, inbox.clone(), targets, figures.clone());
        let owner = std::thread::spawn(move || owner.run());
        let address = listener.address;
        tracing::info!(%address, "controller listening");
        Ok(Running {
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

    /// Where other controllers reach this one, if it is in a membership.
    pub fn membership_address(&self) -> Option<SocketAddr> {
        self.membership.as_ref().map(|service| service.address)
    }

    /// The number of this process, which differs for each process of the controller, if it is in a membership.
    pub fn membership_process(&self) -> Option<u64> {
        self.membership.as_ref().map(|service| service.process)
    }

    /// The figures of the membership, if the controller is in one.
    pub fn membership_figures(&self) -> Option<MembershipFigures> {
        self.membership.as_ref().map(MembershipService::figures)
    }

    /// Hands the slices over and announces to the other controllers that this one leaves.
    pub fn leave(&mut self) {
        if let Some(service) = &mut self.membership {
            service.leave();
        }
    }

    /// Connections that could not be accepted.
    pub fn failed_connections(&self) -> u64 {
        self.listener.failed_accepts()
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.inbox.send(OwnerEvent::Stop);
        if let Some(owner) = self.owner.take() {
            let _ = owner.join();
        }
    }
}

fn ignores_lease_expiry(installation: &Installation) -> bool {
    installation.membership.as_ref().is_some_and(|settings| settings.ignores_lease_expiry())
}

/// The leases that stream writers go by, where controllers share the slices.
fn lease_table(installation: &Installation) -> Option<Arc<LeaseTable>> {
    let settings = installation.membership.as_ref().filter(|settings| settings.share)?;
    Some(Arc::new(LeaseTable::new(settings.clock, settings.ignores_lease_expiry())))
}

fn listen(
    installation: &Installation,
    inbox: &Arc<Inbox>,
    leases: Option<Arc<LeaseTable>>,
) -> Result<Listener, StartError> {
    let terms = &installation.config;
    let limits = StreamLimits {
        subscribe_timeout: installation.subscribe_timeout,
        idle_timeout: installation.idle_timeout,
        max_streams: installation.max_streams,
        quota: MessageQuota { max_messages: terms.message_quota, window: terms.message_quota_window },
    };
    let server = Arc::new(StreamServer::new(limits, inbox.clone(), leases));
    let listener = Listener::open(installation.listen, move |connection, _| server.serve(connection));
    listener.map_err(|error| StartError::Listen(installation.listen, error))
}

fn start_store(installation: &Installation, inbox: &Arc<Inbox>) -> Option<Arc<StoreWriter>> {
    let store = installation.store?;
    Some(Arc::new(if installation.shares() {
        StoreWriter::start_sharing(store)
    } else {
        StoreWriter::start_alone(store, inbox.clone())
    }))
}

fn start_membership(
    installation: &Installation,
    figures: &Arc<Mutex<Figures>>,
    sharing: Option<SliceSharing>,
) -> Result<Option<MembershipService>, StartError> {
    let Some(settings) = &installation.membership else { return Ok(None) };
    let slices = installation.config.slice_count;
    match MembershipService::start(settings, figures.clone(), sharing, slices) {
        Ok(service) => Ok(Some(service)),
        Err(error) => Err(StartError::Membership(settings.listen, error)),
    }
}
