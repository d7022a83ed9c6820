//! Tracks whether a peer has a usable connection, and if not, since when and why.
//!
//! States of a peer: down (before the first connection is usable, and after the last usable one has ended) and up.
//! During a reload, two connections may be usable at once.
use crate::clock::now;
use railhub::Seconds;
use std::sync::Mutex;

/// An outage of a peer, or of a group such as the joined proxies.
#[derive(Clone, Debug, PartialEq)]
pub struct Outage {
    /// When the outage began, in seconds of Unix time.
    pub since: Seconds,
    /// The last error; empty if there is none.
    pub cause: String,
}

struct HealthState {
    usable_connections: usize,
    /// The last outage; it is ongoing while no connection is usable.
    outage: Outage,
}

/// The health of one peer.
pub struct PeerHealth(Mutex<HealthState>);

impl Default for PeerHealth {
    /// Initially the peer is down.
    fn default() -> PeerHealth {
        let outage = Outage { since: now(), cause: "no answer yet".into() };
        PeerHealth(Mutex::new(HealthState { usable_connections: 0, outage }))
    }
}

impl PeerHealth {
    /// Counts a connection as usable until the returned guard is dropped.
    pub fn connection_usable(&self) -> UsableConnection<'_> {
        self.0.lock().expect("no holder panics").usable_connections += 1;
        UsableConnection(self)
    }

    /// Records why the last connection attempt failed, or why the last connection ended.
    pub fn record_failure(&self, cause: &impl ToString) {
        self.0.lock().expect("no holder panics").outage.cause = cause.to_string();
    }

    /// The current outage; `None` while a connection is usable.
    pub fn outage(&self) -> Option<Outage> {
        let state = self.0.lock().expect("no holder panics");
        (state.usable_connections == 0).then(|| state.outage.clone())
    }
}

/// Guard of a connection on which the peer answers. The outage of the peer begins when the last guard is dropped.
pub struct UsableConnection<'a>(&'a PeerHealth);

impl Drop for UsableConnection<'_> {
    fn drop(&mut self) {
        let mut state = self.0 .0.lock().expect("no holder panics");
        state.usable_connections -= 1;
        if state.usable_connections == 0 {
            state.outage.since = now();
        }
    }
}
