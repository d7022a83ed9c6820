//! The subscription to the relay's events.
//!
//! States of a connection: requested (until the relay confirms), active (each line is an event; it may be silent only
//! for a while), ended.
use crate::addresses::Addresses;
use crate::connect_backoff::CONNECT_TIMEOUT;
use crate::descriptors::DescriptorGuard;
use crate::events::ControllerEvent;
use crate::fairness::{ReadLimiter, KNOWN_PEER_READ_LIMIT};
use crate::follower::{follow_peer, ConnectionAttempts, FollowerTimeouts};
use crate::peer_health::UsableConnection;
use crate::rejections::RejectionCause;
use crate::relay::error::RelayError;
use crate::relay::line_reader::{new_lines, next_line};
use crate::shared_state::SharedState;
use may::net::TcpStream;
use railhub::Seconds;
use railhub_net::{dial, spawn, IdleTimeout};
use railhub_platform::wire::relay as wire;
use railhub_platform::{DecodeError, RelayEvent, SubscriptionId};
use railhub_proto::Lines;
use std::io::Write;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Seconds an active subscription may be silent: a sign of life comes each second.
const SILENCE_TIMEOUT: Seconds = 2.5;
/// Seconds at most for a slow relay's answer to the subscription: short, as one that was cut off and is back may never
/// answer a request that came meanwhile.
const MAX_SUBSCRIPTION_TIMEOUT: Seconds = 5.0;
/// Seconds between attempts while the relay is out of reach.
const RETRY_INTERVAL: Seconds = 0.15;

const TIMEOUTS: FollowerTimeouts = FollowerTimeouts {
    silence: SILENCE_TIMEOUT,
    max_first_answer: MAX_SUBSCRIPTION_TIMEOUT,
    retry_interval: RETRY_INTERVAL,
};

/// Starts a follower of the relay whose address is in force now; an earlier follower ends by itself.
pub fn follow(shared: &Arc<SharedState>) {
    let shared = shared.clone();
    let addresses = shared.addresses.get();
    spawn(move || {
        let connect = |attempts: &mut ConnectionAttempts| follow_once(&shared, addresses, attempts);
        let log_failure = |error: &RelayError| {
            tracing::warn!(relay = %addresses.relay, %error, "relay subscription ended");
        };
        follow_peer(&shared, addresses.version, &shared.relay_health, &TIMEOUTS, connect, log_failure);
    });
}

/// One subscription, from its announcement to its end.
fn follow_once(shared: &SharedState, addresses: Addresses, attempts: &mut ConnectionAttempts) -> RelayError {
    let count = shared.subscription_attempts.fetch_add(1, Ordering::Relaxed) + 1;
    let id = SubscriptionId { config_version: addresses.version, sequence: count };
    // The controller thread knows before the relay can.
    shared.inbox.send(ControllerEvent::SubscriptionRequested(id));
    let Err(error) = subscribe(shared, addresses, id, attempts);
    shared.inbox.send(ControllerEvent::SubscriptionEnded(id));
    error
}

/// Runs until the connection fails.
fn subscribe(
    shared: &SharedState,
    addresses: Addresses,
    id: SubscriptionId,
    attempts: &mut ConnectionAttempts,
) -> Result<std::convert::Infallible, RelayError> {
    let mut stream = dial(addresses.relay, CONNECT_TIMEOUT).map_err(RelayError::Connect)?;
    let _descriptor = DescriptorGuard::count(&shared.descriptors.relay);
    let idle_timeout = IdleTimeout::both_halves(&stream, attempts.first_answer_timeout());
    shared.relay_counters.subscriptions.fetch_add(1, Ordering::Relaxed);
    stream.write_all(&wire::encode_subscribe(id.sequence)).map_err(RelayError::Subscribe)?;
    let mut connection = Subscription {
        shared,
        addresses,
        id,
        lines: new_lines(),
        state: SubscriptionState::Requested,
        idle_timeout,
        stream,
    };
    let mut limiter = ReadLimiter::start(KNOWN_PEER_READ_LIMIT);
    loop {
        connection.receive(attempts)?;
        limiter.pause_if_due();
    }
}

enum SubscriptionState<'a> {
    /// The relay has not confirmed it.
    Requested,
    /// The relay has confirmed it: it counts as usable until this is dropped.
    Active { _usable: UsableConnection<'a> },
}

struct Subscription<'a> {
    shared: &'a SharedState,
    addresses: Addresses,
    id: SubscriptionId,
    lines: Lines,
    state: SubscriptionState<'a>,
    /// Before the stream, so that it is dropped first.
    idle_timeout: IdleTimeout,
    stream: TcpStream,
}

impl Subscription<'_> {
    /// Receives one event and sends it on.
    fn receive(&mut self, attempts: &mut ConnectionAttempts) -> Result<(), RelayError> {
        let read = next_line(&mut self.stream, &self.idle_timeout, &mut self.lines, wire::decode_event);
        let event = match read {
            Ok(Ok(event)) => event,
            Ok(Err(invalid)) => return Err(self.reject(invalid)),
            Err(error) => return Err(self.on_read_error(error, attempts)),
        };
        if event == RelayEvent::Subscribed {
            self.activate(attempts)?;
        }
        tracing::trace!(subscription = self.id.sequence, ?event, "relay event");
        self.shared.inbox.send(ControllerEvent::RelayEvent(self.id, event));
        Ok(())
    }

    /// The relay has confirmed the subscription: it takes the place of an earlier one.
    fn activate(&mut self, attempts: &mut ConnectionAttempts) -> Result<(), RelayError> {
        self.idle_timeout = IdleTimeout::both_halves(&self.stream, SILENCE_TIMEOUT);
        if !self.shared.subscription.activate(self.addresses.version, self.idle_timeout.closer()) {
            return Err(RelayError::Superseded);
        }
        attempts.on_answer();
        self.state = SubscriptionState::Active { _usable: self.shared.relay_health.connection_usable() };
        let relay = self.addresses.relay;
        tracing::info!(subscription = self.id.sequence, %relay, "relay subscription active");
        Ok(())
    }

    fn reject(&self, invalid: DecodeError) -> RelayError {
        self.shared.rejections.record(RejectionCause::RelayEvent);
        RelayError::InvalidEvent(invalid)
    }

    fn on_read_error(&self, error: RelayError, attempts: &mut ConnectionAttempts) -> RelayError {
        let unanswered = matches!(self.state, SubscriptionState::Requested);
        if unanswered && matches!(error, RelayError::Silent) {
            attempts.on_first_answer_timeout();
            return RelayError::SubscriptionTimeout;
        }
        error
    }
}
