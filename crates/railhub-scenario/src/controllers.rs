//! The controllers of a scenario as processes. A single one is connected directly, several through relays to which link
//! faults apply.
use crate::controller_links::ControllerLinks;
use crate::controller_settings::{controller_settings, fleet_section, installation, FleetAddresses};
use crate::fault::FaultKind;
use crate::launch::{ControllerLauncher, LaunchError, LaunchedController};
use crate::scenario::Scenario;
use railhub_emulator::endpoint_list::EndpointList;
use railhub_membership::packet::{encode, Packet};
use railhub_membership::NodeId;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::{Mutex, MutexGuard};

/// All controllers of a scenario, by index.
pub(crate) struct Controllers {
    /// The relays; none for a single controller.
    links: Option<ControllerLinks>,
    /// The running process of each controller, if any.
    running: Mutex<Vec<Option<LaunchedController>>>,
}

impl Controllers {
    /// Opens the relays; launches no controller.
    ///
    /// # Errors
    /// A relay cannot listen on a port.
    pub fn open(scenario: &Scenario, list: &EndpointList, store: SocketAddr) -> io::Result<Controllers> {
        let has_links = scenario.controllers > 1;
        let links = has_links.then(|| ControllerLinks::open(scenario, list, store)).transpose()?;
        let running = (0..scenario.controllers).map(|_| None).collect();
        Ok(Controllers { links, running: Mutex::new(running) })
    }

    fn running(&self) -> MutexGuard<'_, Vec<Option<LaunchedController>>> {
        self.running.lock().expect("no holder panics")
    }

    /// Number of controllers, running or not.
    pub fn count(&self) -> usize {
        self.running().len()
    }

    /// Launches a controller, waits until it listens, and returns the address for proxies.
    ///
    /// # Errors
    /// The controller does not start.
    pub fn launch(
        &self,
        scenario: &Scenario,
        launch: &ControllerLauncher,
        controller: usize,
        list: SocketAddr,
        store: SocketAddr,
    ) -> Result<SocketAddr, LaunchError> {
        let Some(links) = &self.links else {
            let launched = launch(&controller_settings(scenario, list, store))?;
            let address = launched.address;
            self.running()[controller] = Some(launched);
            return Ok(address);
        };
        let launched = launch(&shared_settings(scenario, links, controller))?;
        links.connect(controller, Some(&launched));
        self.running()[controller] = Some(launched);
        Ok(links.proxy_address(controller))
    }

    /// Kills a controller's process; returns whether one was running.
    pub fn kill(&self, controller: usize) -> bool {
        let launched = self.running()[controller].take();
        if let Some(links) = &self.links {
            links.connect(controller, None);
        }
        let Some(launched) = launched else { return false };
        (launched.kill)();
        true
    }

    /// Asks a controller to hand over its slices.
    pub fn drain(&self, scenario: &Scenario, controller: usize) {
        let Some((address, process)) = self.peer_address_and_process(controller) else { return };
        let request = Packet::Drain { node: NodeId(controller as u16), process };
        let bytes = encode(&installation(scenario), &request);
        // If the request is lost the controller does not drain; the recording shows that.
        let _ = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).and_then(|socket| socket.send_to(&bytes, address));
    }

    fn peer_address_and_process(&self, controller: usize) -> Option<(SocketAddr, u64)> {
        let running = self.running();
        let launched = running[controller].as_ref()?;
        Some((launched.peer_address?, launched.process_number?))
    }

    /// Whether a controller's process is running.
    pub fn is_running(&self, controller: usize) -> bool {
        self.running()[controller].is_some()
    }

    /// Pauses or resumes a controller's process, if it can be paused.
    pub fn pause(&self, controller: usize, paused: bool) {
        let set_paused = self.running()[controller].as_ref().and_then(|launched| launched.set_paused.clone());
        if let Some(set_paused) = set_paused {
            set_paused(paused);
        }
    }

    /// Begins a fault of the links, or ends it (`None`). Without relays there is no effect.
    pub fn set_link_fault(&self, fault_index: usize, kind: Option<&FaultKind>) {
        if let Some(links) = &self.links {
            links.set_fault(fault_index, kind);
        }
    }
}

/// The settings of one of several controllers.
fn shared_settings(scenario: &Scenario, links: &ControllerLinks, controller: usize) -> String {
    let join = links.advertised();
    let addresses = FleetAddresses { controller, advertise: join[controller], join };
    let common =
        controller_settings(scenario, links.list_address(controller), links.store_address(controller));
    common + &fleet_section(scenario, &addresses)
}
