//! The subscription to the relay's events.
//!
//! States of a connection: requested (until the relay confirms the subscription), active (each line is an event; an
//! idle time-out applies), ended.
use crate::addresses::Addresses;
use crate::descriptors::DescriptorGuard;
use crate::events::ControllerEvent;
use crate::fairness::{ReadLimiter, KNOWN_PEER_MAX_READ_TIME};
use crate::peer_health::UsableConnection;
use crate::reconnect::{keep_connected, ConnectionAttempts, ReconnectTimeouts};
use crate::rejections::RejectionCause;
use crate::relay::error::RelayError;
use crate::relay::line_reader::{new_line_splitter, next_line};
use crate::shared_state::SharedState;
use crate::timeouts::CONNECT_TIMEOUT;
use may::net::TcpStream;
use railhub::Seconds;
use railhub_net::{dial, spawn, IdleTimeout};
use railhub_platform::wire::relay as wire;
use railhub_platform::{DecodeError, RelayEvent, SubscriptionId};
use railhub_proto::LineSplitter;
use std::io::Write;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Seconds that an active subscription may be silent: the relay sends a heartbeat each second.
const SILENCE_TIMEOUT: Seconds = 2.5;
/// Maximum time-out in seconds for a slow relay's answer to the subscription. It is short, as a relay that was cut off
/// may never answer a request that it received during that time.
const MAX_SUBSCRIPTION_TIMEOUT: Seconds = 5.0;
/// Seconds between connection attempts while the relay is unreachable.
const RETRY_INTERVAL: Seconds = 0.15;

const TIMEOUTS: ReconnectTimeouts = ReconnectTimeouts {
    silence: SILENCE_TIMEOUT,
    max_first_answer: MAX_SUBSCRIPTION_TIMEOUT,
    retry_interval: RETRY_INTERVAL,
};

/// Starts a reconnect loop for the current relay address. A loop of an earlier configuration ends by itself.
pub fn start_subscription(shared: &Arc<SharedState>) {
    let shared = shared.clone();
    let addresses = shared.addresses.get();
    spawn(move || {
        let connect = |attempts: &mut ConnectionAttempts| run_subscription(&shared, addresses, attempts);
        let log_failure = |error: &RelayError| {
            tracing::warn!(relay = %addresses.relay, %error, "relay subscription ended");
        };
        keep_connected(&shared, addresses.version, &shared.relay_health, &TIMEOUTS, connect, log_failure);
    });
}

/// Runs one subscription, from its announcement to the controller thread to its end.
fn run_subscription(
    shared: &SharedState,
    addresses: Addresses,
    attempts: &mut ConnectionAttempts,
) -> RelayError {
    let sequence = shared.subscription_attempts.fetch_add(1, Ordering::Relaxed) + 1;
    let id = SubscriptionId { config_version: addresses.version, sequence };
    // The controller thread is notified before the relay can receive the request.
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
    let mut subscription = Subscription {
        shared,
        addresses,
        id,
        lines: new_line_splitter(),
        state: SubscriptionState::Requested,
        idle_timeout,
        stream,
    };
    let mut limiter = ReadLimiter::start(KNOWN_PEER_MAX_READ_TIME);
    loop {
        subscription.receive(attempts)?;
        limiter.pause_if_due();
    }
}

enum SubscriptionState<'a> {
    /// The relay has not confirmed it.
    Requested,
    /// The relay has confirmed it. The connection counts as usable until the guard is dropped.
    Active { _usable: UsableConnection<'a> },
}

struct Subscription<'a> {
    shared: &'a SharedState,
    addresses: Addresses,
    id: SubscriptionId,
    lines: LineSplitter,
    state: SubscriptionState<'a>,
    /// Declared before the stream, so that it is dropped first.
    idle_timeout: IdleTimeout,
    stream: TcpStream,
}

impl Subscription<'_> {
    /// Receives one event and forwards it.
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

    /// Handles the confirmation of the relay: the subscription replaces an earlier one.
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
        if unanswered && matches!(error, RelayError::IdleTimeout) {
            attempts.on_first_answer_timeout();
            return RelayError::SubscriptionTimeout;
        }
        error
    }
}
