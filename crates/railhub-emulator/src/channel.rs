//! The way from the steward to its proxies, as slow as a day wants it: messages pass one after another at so
//! many lines a second.
use may::sync::Mutex;
use railhub_net::{now, seconds};
use std::sync::Arc;

#[derive(Clone)]
pub struct Channel {
    inner: Arc<Mutex<Inner>>,
    message_cost: f64,
}

struct Inner {
    lines_a_second: f64,
    slower: f64,
    free_at: f64,
}

impl Channel {
    pub fn new(lines_a_second: f64, message_cost: f64) -> Channel {
        let inner = Inner { lines_a_second, slower: 1.0, free_at: 0.0 };
        Channel { inner: Arc::new(Mutex::new(inner)), message_cost }
    }

    /// So many times slower from now on, besides what slows it already.
    pub fn slow_down(&self, times: f64) {
        self.inner.lock().expect("no holder panics").slower *= times;
    }

    /// Waits until a message of so many lines has passed.
    pub fn pass(&self, lines: usize) {
        let free_at = {
            let mut inner = self.inner.lock().expect("no holder panics");
            let took = (lines as f64 + self.message_cost) * inner.slower / inner.lines_a_second;
            inner.free_at = inner.free_at.max(now()) + took;
            inner.free_at
        };
        may::coroutine::sleep(seconds(free_at - now()));
    }
}
