//! Lets the other coroutines run while a peer sends without pause: reads that find bytes never wait, and there is one
//! worker.
use railhub::Seconds;
use railhub_net::{now, seconds};

/// Seconds of reading after which others run, of a known peer and of one that has not said who it is: of those many
/// may send at once.
pub const KNOWN_PEER_SPAN: Seconds = 0.004;
pub const STRANGER_SPAN: Seconds = 0.000_25;
/// Seconds in which they do. Yielding alone would not let the worker look at its sockets.
const PAUSE: Seconds = 0.001;

/// How long one connection has been read without a pause.
pub struct ReadTurn {
    since: Seconds,
    span: Seconds,
}

impl ReadTurn {
    pub fn start(span: Seconds) -> ReadTurn {
        ReadTurn { since: now(), span }
    }

    /// Called after each read or line.
    pub fn pause_if_long(&mut self) {
        if now() - self.since > self.span {
            may::coroutine::sleep(seconds(PAUSE));
            self.since = now();
        }
    }
}
