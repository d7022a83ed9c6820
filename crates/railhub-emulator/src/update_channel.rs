//! The update channel from the controllers to the proxies. Messages pass one after another, at a limited rate in table
//! lines per second.
use may::sync::Mutex;
use railhub_net::{now, seconds};
use std::sync::Arc;

/// The update channel. Clones share the same channel.
#[derive(Clone)]
pub struct UpdateChannel {
    state: Arc<Mutex<State>>,
    /// Fixed cost of a message, in lines.
    message_cost: f64,
}

struct State {
    lines_per_second: f64,
    /// Factor by which messages take longer.
    slowdown: f64,
    /// When the last queued message will have passed, in seconds.
    free_at: f64,
}

impl UpdateChannel {
    /// Creates a channel in which each message costs `message_cost` lines in addition to the lines that it carries.
    pub fn new(lines_per_second: f64, message_cost: f64) -> UpdateChannel {
        let state = State { lines_per_second, slowdown: 1.0, free_at: 0.0 };
        UpdateChannel { state: Arc::new(Mutex::new(state)), message_cost }
    }

    /// Multiplies the slowdown by a factor; a factor below 1 reduces it.
    ///
    /// # Panics
    /// If a holder of the channel panicked.
    pub fn slow_down(&self, factor: f64) {
        self.state.lock().expect("no holder panics").slowdown *= factor;
    }

    /// Waits until a message of `lines` table lines has passed the channel, behind the earlier messages.
    ///
    /// # Panics
    /// If a holder of the channel panicked.
    pub fn transmit(&self, lines: usize) {
        let free_at = {
            let mut state = self.state.lock().expect("no holder panics");
            let duration = (lines as f64 + self.message_cost) * state.slowdown / state.lines_per_second;
            state.free_at = state.free_at.max(now()) + duration;
            state.free_at
        };
        may::coroutine::sleep(seconds(free_at - now()));
    }
}
