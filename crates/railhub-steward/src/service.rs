//! Starts a steward's parts in their order, and stops them.
use crate::fleet::{FleetFigures, FleetService, SliceSharing};
use crate::inbox::{inbox, Inbox, OwnerEvent};
use crate::installation::Installation;
use crate::kernel::Figures;
use crate::leases::LeaseTable;
use crate::outbox::MessageCap;
use crate::owner::{CommandTargets, Owner};
use crate::probes;
use crate::roster;
use crate::store::StoreWriter;
use crate::streams::{serve, StreamRegistry, StreamTerms};
use crate::traffic::TrafficWriter;
use railhub_membership::safeguard::Safeguard;
use railhub_net::{now, Listener, Task};
use railhub_traffic::file::TrafficFault;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use thiserror::Error;

#[derive(Debug, Error)]
pub enum StartError {
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    #[error("cannot write traffic: {0}")]
    Traffic(#[from] TrafficFault),
    #[error("cannot listen for other stewards on {0}: {1}")]
    Fleet(SocketAddr, std::io::Error),
}

/// A steward that runs; dropping it stops it.
pub struct Running {
    pub address: SocketAddr,
    inbox: Arc<Inbox>,
    shown: Arc<Mutex<Figures>>,
    owner: Option<JoinHandle<()>>,
    listener: Listener,
    _roster: Task,
    fleet: Option<FleetService>,
}

impl Running {
    pub fn start(installation: Installation) -> Result<Running, StartError> {
        let traffic = TrafficWriter::start(&installation, now())?;
        let inbox = Arc::new(inbox());
        let shown = Arc::new(Mutex::new(Figures::default()));
        let streams = StreamTerms {
            first_within: installation.first_within,
            silent_after: installation.silent_after,
            streams_most: installation.streams_most,
            cap: MessageCap {
                most: installation.terms.message_quota,
                span: installation.terms.message_quota_window,
            },
        };
        let doors = Arc::new(StreamRegistry::default());
        let overruns =
            installation.fleet.as_ref().is_some_and(|fleet| fleet.without == Some(Safeguard::LeaseExpiry));
        let sharing = installation.fleet.as_ref().filter(|fleet| fleet.share);
        let leases = sharing.map(|fleet| Arc::new(LeaseTable::new(fleet.clock, overruns)));
        let (taking, writing) = (inbox.clone(), leases.clone());
        let each = move |stream, _| serve(stream, &taking, &doors, streams, writing.clone());
        let listener = Listener::open(installation.listen, each)
            .map_err(|e| StartError::Listen(installation.listen, e))?;
        let store = installation.store.map(|store| match installation.shares() {
            true => StoreWriter::share(store),
            false => StoreWriter::start(store, inbox.clone()),
        });
        let store = store.map(Arc::new);
        let shares = store.clone().zip(leases).map(|(store, leases)| SliceSharing {
            store,
            inbox: inbox.clone(),
            leases,
            slices: installation.terms.slice_count,
        });
        let fleet = installation.fleet.as_ref().map(|terms| {
            FleetService::start(terms, shown.clone(), shares, installation.terms.slice_count)
                .map_err(|e| StartError::Fleet(terms.listen, e))
        });
        let fleet = fleet.transpose()?;
        let probes = probes::start(installation.probes_at_once, installation.probe_within, &inbox);
        let roster = roster::follow(installation.roster, inbox.clone());
        // Where stewards share, versions and leases are of the same process.
        let incarnation = fleet.as_ref().filter(|_| installation.shares()).map(|fleet| fleet.process);
        let outlets = CommandTargets { probes, store, traffic };
        let owner = Owner::new(installation, incarnation, inbox.clone(), outlets, shown.clone());
        let owner = std::thread::spawn(move || owner.run());
        tracing::info!(address = %listener.address, "the steward listens");
        let address = listener.address;
        Ok(Running { address, inbox, shown, owner: Some(owner), listener, _roster: roster, fleet })
    }

    pub fn figures(&self) -> Figures {
        self.shown.lock().expect("no holder panics").clone()
    }

    /// Where other stewards reach this one, if it is in a fleet.
    pub fn fleet_address(&self) -> Option<SocketAddr> {
        self.fleet.as_ref().map(|fleet| fleet.address)
    }

    /// The number that tells this process from others of the same steward.
    pub fn fleet_process(&self) -> Option<u64> {
        self.fleet.as_ref().map(|fleet| fleet.process)
    }

    pub fn fleet_figures(&self) -> Option<FleetFigures> {
        self.fleet.as_ref().map(FleetService::figures)
    }

    /// Tells the other stewards that this one goes.
    pub fn leave(&mut self) {
        self.fleet.iter_mut().for_each(FleetService::leave);
    }

    /// Connections that could not be taken.
    pub fn failed_connections(&self) -> u64 {
        self.listener.failed()
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
