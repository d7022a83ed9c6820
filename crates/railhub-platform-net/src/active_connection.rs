//! The connection to a peer that is in use. A configuration reload may replace it by a connection to another address.
use railhub_net::Closer;
use std::sync::Mutex;

/// The connection in use, with the version of the configuration that has the peer's address.
///
/// States: none, active. A connection of the same or a newer version replaces and closes the active one. A connection
/// of an older version is rejected, even if it is established after the newer one was lost.
#[derive(Default)]
pub struct ActiveConnection(Mutex<Option<VersionedConnection>>);

struct VersionedConnection {
    version: u64,
    closer: Closer,
}

impl ActiveConnection {
    /// Makes this connection the active one and closes the previous one. Returns false, and changes nothing, if a
    /// connection of a newer configuration has been active.
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

    /// Whether no connection of a newer configuration is or was active.
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
