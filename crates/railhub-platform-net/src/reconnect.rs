//! Keeps a long-lived connection to a peer: connects, serves the connection until it ends, waits, connects again.
//!
//! States: answering (initially, and once a connection has received an answer) and failing (a connection has ended
//! since the last answer; only the first one is logged). A reload starts new reconnect loops; those of an older
//! configuration end by themselves.
use crate::peer_health::PeerHealth;
use crate::shared_state::SharedState;
use crate::timeouts::AdaptiveTimeout;
use railhub::Seconds;
use railhub_net::seconds;

/// The time-outs of the connections of a reconnect loop.
pub struct ReconnectTimeouts {
    /// Seconds of silence after which a connection is closed; also the initial time-out for the first answer.
    pub silence: Seconds,
    /// Maximum time-out in seconds for the first answer.
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

    /// Time-out in seconds for the first answer on this connection.
    pub fn first_answer_timeout(&self) -> Seconds {
        self.first_answer_timeout.current()
    }

    /// Records that the peer has answered on this connection.
    pub fn on_answer(&mut self) {
        self.first_answer_timeout.reset();
        self.state = PeerState::Answering;
    }

    /// Records that the connection timed out before the first answer; lengthens the time-out.
    pub fn on_first_answer_timeout(&mut self) {
        self.first_answer_timeout.double();
    }

    /// Records that the connection ended. Returns whether it is the first one to end since the last answer.
    fn on_failure(&mut self) -> bool {
        std::mem::replace(&mut self.state, PeerState::Failing) == PeerState::Answering
    }
}

/// Runs connections one after another as long as `version` is the current version of the configuration. `connect`
/// establishes and serves one connection and returns why it ended. `log_failure` is called for the first failure since
/// the last answer.
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
