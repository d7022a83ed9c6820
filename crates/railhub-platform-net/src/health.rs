//! Whether the line to a peer stands, and if not, since when and why.
use crate::clock::now;
use railhub::Seconds;
use std::sync::Mutex;

/// A peer that cannot be used.
#[derive(Clone, Debug, PartialEq)]
pub struct Outage {
    pub since: Seconds,
    pub cause: String,
}

struct State {
    /// Lines that stand: two while a new file takes effect.
    standing: usize,
    down: Outage,
}

/// The lines to one peer.
pub struct PeerHealth(Mutex<State>);

impl Default for PeerHealth {
    /// Down until the first line stands.
    fn default() -> PeerHealth {
        let down = Outage { since: now(), cause: "no answer yet".into() };
        PeerHealth(Mutex::new(State { standing: 0, down }))
    }
}

impl PeerHealth {
    /// Counts a line until the guard is dropped.
    pub fn line_stands(&self) -> ConnectionIsActive<'_> {
        self.0.lock().expect("no holder panics").standing += 1;
        ConnectionIsActive(self)
    }

    /// Why the last try failed, or the line that stood ended.
    pub fn failed(&self, cause: &impl ToString) {
        self.0.lock().expect("no holder panics").down.cause = cause.to_string();
    }

    pub fn outage(&self) -> Option<Outage> {
        let state = self.0.lock().expect("no holder panics");
        (state.standing == 0).then(|| state.down.clone())
    }
}

/// A line that stands.
pub struct ConnectionIsActive<'a>(&'a PeerHealth);

impl Drop for ConnectionIsActive<'_> {
    fn drop(&mut self) {
        let mut state = self.0 .0.lock().expect("no holder panics");
        state.standing -= 1;
        if state.standing == 0 {
            state.down.since = now();
        }
    }
}
