//! Starts a steward's parts in their order, and stops them.
use crate::inbox::{inbox, Inbox, Word};
use crate::installation::Installation;
use crate::kernel::Figures;
use crate::outbox::MessageCap;
use crate::owner::{Outlets, Owner};
use crate::probes;
use crate::roster;
use crate::store::StoreWriter;
use crate::streams::{serve, Doors, StreamTerms};
use crate::traffic::TrafficWriter;
use railhub_net::{now, Listener, Task};
use railhub_traffic::file::TrafficFault;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use thiserror::Error;

#[derive(Debug, Error)]
pub enum StartFault {
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    #[error("cannot write traffic: {0}")]
    Traffic(#[from] TrafficFault),
}

/// A steward that runs; dropping it stops it.
pub struct Running {
    pub address: SocketAddr,
    inbox: Arc<Inbox>,
    shown: Arc<Mutex<Figures>>,
    owner: Option<JoinHandle<()>>,
    listener: Listener,
    _roster: Task,
}

impl Running {
    pub fn start(installation: Installation) -> Result<Running, StartFault> {
        let traffic = TrafficWriter::start(&installation, now())?;
        let inbox = Arc::new(inbox());
        let shown = Arc::new(Mutex::new(Figures::default()));
        let streams = StreamTerms {
            first_within: installation.first_within,
            silent_after: installation.silent_after,
            streams_most: installation.streams_most,
            cap: MessageCap { most: installation.terms.message_cap, span: installation.terms.messages_span },
        };
        let doors = Arc::new(Doors::default());
        let taking = inbox.clone();
        let listener =
            Listener::open(installation.listen, move |stream, _| serve(stream, &taking, &doors, streams))
                .map_err(|e| StartFault::Listen(installation.listen, e))?;
        let probes = probes::start(installation.probes_at_once, installation.probe_within, &inbox);
        let store = installation.store.map(|store| StoreWriter::start(store, inbox.clone()));
        let roster = roster::follow(installation.roster, inbox.clone());
        let owner =
            Owner::new(installation, inbox.clone(), Outlets { probes, store, traffic }, shown.clone());
        let owner = std::thread::spawn(move || owner.run());
        tracing::info!(address = %listener.address, "the steward listens");
        Ok(Running { address: listener.address, inbox, shown, owner: Some(owner), listener, _roster: roster })
    }

    pub fn figures(&self) -> Figures {
        self.shown.lock().expect("no holder panics").clone()
    }

    /// Connections that could not be taken.
    pub fn failed_connections(&self) -> u64 {
        self.listener.failed()
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.inbox.tell(Word::Stop);
        if let Some(owner) = self.owner.take() {
            let _ = owner.join();
        }
    }
}
