//! The one connection to a peer that is in use, while a reload moves the peer to another address.
use railhub_net::Closer;
use std::sync::Mutex;

/// The connection in use, with the version of the configuration that named its peer.
///
/// States: none, active. A connection of the same or a newer version replaces and closes the active one. One of an
/// older version is refused, even if it comes between two connections of a newer one.
#[derive(Default)]
pub struct ActiveConnection(Mutex<Option<VersionedConnection>>);

struct VersionedConnection {
    version: u64,
    closer: Closer,
}

impl ActiveConnection {
    /// Makes this connection the active one. Returns whether it is: false if a newer configuration's is active.
    pub fn activate(&self, version: u64, closer: Closer) -> bool {
        let mut active = self.0.lock().expect("no holder panics");
        if active.as_ref().is_some_and(|active| active.version > version) {
            return false;
        }
        if let Some(replaced) = active.replace(VersionedConnection { version, closer }) {
            replaced.closer.close();
        }
        true
    }

    /// Whether no newer configuration's connection is or was active.
    pub fn is_current(&self, version: u64) -> bool {
        let active = self.0.lock().expect("no holder panics");
        active.as_ref().is_none_or(|active| active.version <= version)
    }

    /// Shuts down the active connection; the reconnect loop then connects again.
    pub fn close(&self) {
        let active = self.0.lock().expect("no holder panics");
        if let Some(active) = active.as_ref() {
            active.closer.close();
        }
    }
}
