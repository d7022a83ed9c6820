//! The relays between several controllers, their endpoint list, store and proxies. The settings of a controller contain
//! the addresses of relays in place of the real ones.
use crate::fault::FaultKind;
use crate::launch::LaunchedController;
use crate::link_faults::{LinkEnds, LIST, PROXIES, STORE};
use crate::scenario::Scenario;
use railhub_emulator::endpoint_list::EndpointList;
use railhub_fault_links::tcp::TcpLink;
use railhub_fault_links::udp::UdpLinks;
use railhub_fault_links::LinkController;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// The relays of one controller.
struct ControllerRelays {
    /// From the proxies to the controller.
    proxies: TcpLink,
    /// From the controller to the endpoint list.
    list: TcpLink,
    /// From the controller to the store.
    store: TcpLink,
    /// Address at which the other controllers reach it.
    advertised: SocketAddr,
}

/// The relays of all controllers.
pub(crate) struct ControllerLinks {
    link_controller: Arc<LinkController>,
    udp: UdpLinks,
    relays: Vec<ControllerRelays>,
    /// Active faults of links, by their index in the scenario.
    active: Mutex<BTreeMap<usize, FaultKind>>,
}

impl ControllerLinks {
    /// Opens the relays.
    ///
    /// # Errors
    /// A relay cannot listen on a port.
    pub fn open(scenario: &Scenario, list: &EndpointList, store: SocketAddr) -> io::Result<ControllerLinks> {
        let link_controller = Arc::new(LinkController::new(scenario.seed, None));
        let udp = UdpLinks::open(link_controller.clone(), Box::new(|_| {}));
        let mut relays = Vec::new();
        for controller in 0..scenario.controllers {
            let name = LinkEnds::controller_name(controller);
            let list_address = list.listen_for(controller as u32)?;
            relays.push(ControllerRelays {
                proxies: TcpLink::open(link_controller.clone(), PROXIES, &name, None)?,
                list: TcpLink::open(link_controller.clone(), &name, LIST, Some(list_address))?,
                store: TcpLink::open(link_controller.clone(), &name, STORE, Some(store))?,
                advertised: udp.add(&name)?,
            });
        }
        Ok(ControllerLinks { link_controller, udp, relays, active: Mutex::default() })
    }

    /// Address at which proxies reach a controller.
    pub fn proxy_address(&self, controller: usize) -> SocketAddr {
        self.relays[controller].proxies.address
    }

    /// Address at which a controller reaches the endpoint list.
    pub fn list_address(&self, controller: usize) -> SocketAddr {
        self.relays[controller].list.address
    }

    /// Address at which a controller reaches the store.
    pub fn store_address(&self, controller: usize) -> SocketAddr {
        self.relays[controller].store.address
    }

    /// Addresses at which the controllers reach each other, by index.
    pub fn advertised(&self) -> Vec<SocketAddr> {
        self.relays.iter().map(|relays| relays.advertised).collect()
    }

    /// Connects a controller's relays to its process, or to none.
    pub fn connect(&self, controller: usize, launched: Option<&LaunchedController>) {
        let address = launched.map(|launched| launched.address);
        let peer_address = launched.and_then(|launched| launched.peer_address);
        self.relays[controller].proxies.set_target(address);
        self.udp.set_real_address(&LinkEnds::controller_name(controller), peer_address);
    }

    /// Begins a fault of the links, or ends it (`None`).
    pub fn set_fault(&self, fault_index: usize, kind: Option<&FaultKind>) {
        let mut active = self.active.lock().expect("no holder panics");
        match kind {
            Some(kind) => _ = active.insert(fault_index, kind.clone()),
            None => _ = active.remove(&fault_index),
        }
        self.apply(&active);
    }

    /// Sets each direction of each link to the combined effect of the active faults.
    fn apply(&self, active: &BTreeMap<usize, FaultKind>) {
        let ends = LinkEnds::new(self.relays.len());
        let names = ends.names();
        for (from, from_name) in names.iter().enumerate() {
            for (to, to_name) in names.iter().enumerate() {
                if !ends.are_linked(from, to) {
                    continue;
                }
                let faults = ends.faults(active, from, to);
                if self.link_controller.faults(from_name, to_name) != faults {
                    self.link_controller.set(from_name, to_name, faults);
                }
            }
        }
    }
}
