//! Keeps a long-lived connection to a peer: connects, follows it until it ends, waits, connects again.
//!
//! States: following (the last connection brought an answer) and failing (it has ended since, which is logged once). A
//! reload starts new followers; those of an older configuration end by themselves.
use crate::connect_backoff::ConnectBackoff;
use crate::peer_health::PeerHealth;
use crate::shared_state::SharedState;
use railhub::Seconds;
use railhub_net::seconds;

/// The time-outs of a follower's connections.
pub struct FollowerTimeouts {
    /// Seconds of silence that end a connection, and at first the wait for a connection's first answer.
    pub silence: Seconds,
    /// Seconds that the wait for a first answer grows to.
    pub max_first_answer: Seconds,
    /// Seconds between the end of a connection and the next attempt.
    pub retry_interval: Seconds,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum FollowerState {
    Following,
    Failing,
}

/// The connection attempts of one follower.
pub struct ConnectionAttempts {
    backoff: ConnectBackoff,
    state: FollowerState,
}

impl ConnectionAttempts {
    fn new(timeouts: &FollowerTimeouts) -> ConnectionAttempts {
        let backoff = ConnectBackoff::new(timeouts.silence, timeouts.max_first_answer);
        ConnectionAttempts { backoff, state: FollowerState::Following }
    }

    /// Seconds to wait for the first answer of this connection.
    pub fn first_answer_timeout(&self) -> Seconds {
        self.backoff.timeout()
    }

    /// The peer answered on this connection.
    pub fn on_answer(&mut self) {
        self.backoff.reset();
        self.state = FollowerState::Following;
    }

    /// The connection timed out before the peer's first answer.
    pub fn on_first_answer_timeout(&mut self) {
        self.backoff.lengthen();
    }

    /// The connection ended. Returns whether it is the first to fail since the last answer.
    fn on_failure(&mut self) -> bool {
        std::mem::replace(&mut self.state, FollowerState::Failing) == FollowerState::Following
    }
}

/// Runs one connection after another by `connect`, which returns why the connection ended, as long as the configuration
/// of this version is in force. `log_failure` gets the first failure since the last answer.
pub fn follow_peer<E: ToString>(
    shared: &SharedState,
    version: u64,
    health: &PeerHealth,
    timeouts: &FollowerTimeouts,
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
