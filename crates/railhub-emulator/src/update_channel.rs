//! The update channel from the controllers to the proxies: messages pass one after another at a rate in lines.
use may::sync::Mutex;
use railhub_net::{now, seconds};
use std::sync::Arc;

/// The update channel. Clones are the same channel.
#[derive(Clone)]
pub struct UpdateChannel {
    state: Arc<Mutex<State>>,
    message_cost: f64,
}

struct State {
    lines_per_second: f64,
    slowdown: f64,
    /// When the last message that entered has passed, in seconds.
    free_at: f64,
}

impl UpdateChannel {
    /// A channel in which each message costs `message_cost` lines on top of those it carries.
    pub fn new(lines_per_second: f64, message_cost: f64) -> UpdateChannel {
        let state = State { lines_per_second, slowdown: 1.0, free_at: 0.0 };
        UpdateChannel { state: Arc::new(Mutex::new(state)), message_cost }
    }

    /// Multiplies the slowdown.
    ///
    /// # Panics
    /// If a holder of the channel panicked.
    pub fn slow_down(&self, factor: f64) {
        self.state.lock().expect("no holder panics").slowdown *= factor;
    }

    /// Waits until a message of `lines` lines has passed.
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
