//! Lets the other coroutines run while a peer sends without pause: reads that find bytes never wait, and there is one
//! worker.
use railhub::Seconds;
use railhub_net::{now, seconds};

/// Seconds of reading after which others run.
const READ_SPAN: Seconds = 0.004;
/// Seconds in which they do. Yielding alone would not let the worker look at its sockets.
const PAUSE: Seconds = 0.001;

/// How long one connection has been read without a pause.
pub struct ReadTurn {
    since: Seconds,
}

impl ReadTurn {
    pub fn start() -> ReadTurn {
        ReadTurn { since: now() }
    }

    /// Called after each line.
    pub fn pause_if_long(&mut self) {
        if now() - self.since > READ_SPAN {
            may::coroutine::sleep(seconds(PAUSE));
            self.since = now();
        }
    }
}
