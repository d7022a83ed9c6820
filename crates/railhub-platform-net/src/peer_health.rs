//! Whether a peer is connected, and if not, since when and why.
//!
//! States of a peer: down (until the first connection is usable, and after the last one ended) and up. During a reload
//! two connections may be usable at once.
use crate::clock::now;
use railhub::Seconds;
use std::sync::Mutex;

/// A peer, or a population of peers, that cannot be used.
#[derive(Clone, Debug, PartialEq)]
pub struct Outage {
    /// When it began, in seconds of wall time.
    pub since: Seconds,
    /// The last error; empty where there is none.
    pub cause: String,
}

struct HealthState {
    usable_connections: usize,
    /// The last outage: present while no connection is usable.
    outage: Outage,
}

/// The health of one peer.
pub struct PeerHealth(Mutex<HealthState>);

impl Default for PeerHealth {
    /// Down until the first connection is usable.
    fn default() -> PeerHealth {
        let outage = Outage { since: now(), cause: "no answer yet".into() };
        PeerHealth(Mutex::new(HealthState { usable_connections: 0, outage }))
    }
}

impl PeerHealth {
    /// Counts a usable connection until the guard is dropped.
    pub fn connection_usable(&self) -> UsableConnection<'_> {
        self.0.lock().expect("no holder panics").usable_connections += 1;
        UsableConnection(self)
    }

    /// Records why the last attempt failed or the last connection ended.
    pub fn record_failure(&self, cause: &impl ToString) {
        self.0.lock().expect("no holder panics").outage.cause = cause.to_string();
    }

    /// The outage, while no connection is usable.
    pub fn outage(&self) -> Option<Outage> {
        let state = self.0.lock().expect("no holder panics");
        (state.usable_connections == 0).then(|| state.outage.clone())
    }
}

/// A connection on which the peer answers; the peer's outage begins when the last one is dropped.
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
