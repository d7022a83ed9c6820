//! The current addresses of the relay and of discovery, with the version of the configuration that they are from.
use std::net::SocketAddr;
use std::sync::Mutex;

/// The addresses of the peers in one configuration.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Version of the configuration: 0 at the start of the process, plus one for each reload.
    pub version: u64,
    /// The relay, which is also the store.
    pub relay: SocketAddr,
    /// The discovery agent.
    pub discovery: SocketAddr,
}

/// The addresses of the current configuration. A reload replaces all of them.
pub struct CurrentAddresses(Mutex<Addresses>);

impl CurrentAddresses {
    /// The addresses at the start of the process, version 0.
    pub fn new(relay: SocketAddr, discovery: SocketAddr) -> CurrentAddresses {
        CurrentAddresses(Mutex::new(Addresses { version: 0, relay, discovery }))
    }

    /// The current addresses.
    pub fn get(&self) -> Addresses {
        *self.0.lock().expect("no holder panics")
    }

    /// Whether this version is the current one.
    pub fn is_current(&self, version: u64) -> bool {
        self.get().version == version
    }

    /// Replaces the addresses by those of a reloaded configuration, with the next version.
    pub fn replace(&self, relay: SocketAddr, discovery: SocketAddr) -> Addresses {
        let mut addresses = self.0.lock().expect("no holder panics");
        *addresses = Addresses { version: addresses.version + 1, relay, discovery };
        *addresses
    }
}
