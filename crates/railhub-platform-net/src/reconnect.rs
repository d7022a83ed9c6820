//! Keeps a long-lived connection to a peer: connects, follows it until it ends, waits, connects again.
//!
//! States: following (the last connection brought an answer) and failing (it has ended since, which is logged once). A
//! reload starts new followers; those of an older configuration end by themselves.
use crate::peer_health::PeerHealth;
use crate::shared_state::SharedState;
use crate::timeouts::AdaptiveTimeout;
use railhub::Seconds;
use railhub_net::seconds;

/// The time-outs of a reconnect loop's connections.
pub struct ReconnectTimeouts {
    /// Seconds of silence that end a connection, and at first the wait for a connection's first answer.
    pub silence: Seconds,
    /// Seconds that the wait for a first answer grows to.
    pub max_first_answer: Seconds,
    /// Seconds between the end of a connection and the next attempt.
    pub retry_interval: Seconds,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum PeerState {
    Answering,
    Failing,
}

/// The connection attempts of one reconnect loop.
pub struct ConnectionAttempts {
    first_answer_timeout: AdaptiveTimeout,
    state: PeerState,
}

impl ConnectionAttempts {
    fn new(timeouts: &ReconnectTimeouts) -> ConnectionAttempts {
        let first_answer_timeout = AdaptiveTimeout::new(timeouts.silence, timeouts.max_first_answer);
        ConnectionAttempts { first_answer_timeout, state: PeerState::Answering }
    }

    /// Seconds to wait for the first answer of this connection.
    pub fn first_answer_timeout(&self) -> Seconds {
        self.first_answer_timeout.current()
    }

    /// The peer answered on this connection.
    pub fn on_answer(&mut self) {
        self.first_answer_timeout.reset();
        self.state = PeerState::Answering;
    }

    /// The connection timed out before the peer's first answer.
    pub fn on_first_answer_timeout(&mut self) {
        self.first_answer_timeout.double();
    }

    /// The connection ended. Returns whether it is the first to fail since the last answer.
    fn on_failure(&mut self) -> bool {
        std::mem::replace(&mut self.state, PeerState::Failing) == PeerState::Answering
    }
}

/// Runs one connection after another by `connect`, which returns why the connection ended, as long as the configuration
/// of this version is in force. `log_failure` gets the first failure since the last answer.
pub fn keep_connected<E: ToString>(
    shared: &SharedState,
    version: u64,
    health: &PeerHealth,
    timeouts: &ReconnectTimeouts,
    mut connect: impl FnMut(&mut ConnectionAttempts) -> E,
    log_failure: impl Fn(&E),
) {
    let mut attempts = ConnectionAttempts::new(timeouts);
    while shared.addresses.is_current(version) {
        let error = connect(&mut attempts);
        health.record_failure(&error);
        let first_failure = attempts.on_failure();
        if first_failure && shared.addresses.is_current(version) {
            log_failure(&error);
        }
        may::coroutine::sleep(seconds(timeouts.retry_interval));
    }
}
