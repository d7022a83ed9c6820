//! Where the relay and discovery are now, and which configuration named them.
use std::net::SocketAddr;
use std::sync::Mutex;

/// The peers' addresses of one configuration.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Counts configurations: 0 is the one of the start, each reload adds one.
    pub version: u64,
    /// The relay, which is the store as well.
    pub relay: SocketAddr,
    /// The discovery agent.
    pub discovery: SocketAddr,
}

/// The addresses of the configuration in force, all replaced by a reload.
pub struct CurrentAddresses(Mutex<Addresses>);

impl CurrentAddresses {
    /// The addresses of the start, version 0.
    pub fn new(relay: SocketAddr, discovery: SocketAddr) -> CurrentAddresses {
        CurrentAddresses(Mutex::new(Addresses { version: 0, relay, discovery }))
    }

    /// The addresses in force.
    pub fn get(&self) -> Addresses {
        *self.0.lock().expect("no holder panics")
    }

    /// Whether no reload came after this version.
    pub fn is_current(&self, version: u64) -> bool {
        self.get().version == version
    }

    /// Puts a reloaded configuration's addresses in force, under the next version.
    pub fn replace(&self, relay: SocketAddr, discovery: SocketAddr) -> Addresses {
        let mut addresses = self.0.lock().expect("no holder panics");
        *addresses = Addresses { version: addresses.version + 1, relay, discovery };
        *addresses
    }
}
