//! The discovery watch, which receives changes of the endpoint list, starting from the generation that the controller
//! has.
//!
//! Flow of a page: the watch reads a line, takes a page permit and sends the page to the controller thread, which
//! applies it and returns the permit. A page that has an invalid entry, or is older than the previous page, ends the
//! watch; the next watch requests the page again. The last list stays in use while no watch is open.
//!
//! States of a watch: opened (until its first line), active (each line is a page, or empty as a heartbeat), ended.
use crate::addresses::Addresses;
use crate::descriptors::DescriptorGuard;
use crate::events::ControllerEvent;
use crate::fairness::{ReadLimiter, KNOWN_PEER_MAX_READ_TIME};
use crate::peer_health::UsableConnection;
use crate::reconnect::{keep_connected, ConnectionAttempts, ReconnectTimeouts};
use crate::rejections::RejectionCause;
use crate::shared_state::SharedState;
use crate::timeouts::CONNECT_TIMEOUT;
use railhub::Seconds;
use railhub_net::http::{HttpError, LineStream};
use railhub_net::spawn;
use railhub_platform::wire::discovery;
use railhub_platform::{DecodeError, EndpointPage};
use std::convert::Infallible;
use std::sync::Arc;
use thiserror::Error;

/// Seconds that a watch may be silent: discovery sends an empty line every 2 s.
const SILENCE_TIMEOUT: Seconds = 4.5;
/// Maximum time-out in seconds for the first line of a slow discovery. Discovery may never answer a request that
/// reached it while it was down; this time-out plus the retry interval is below the 6 s after which the platform counts
/// the list as received.
const MAX_FIRST_LINE_TIMEOUT: Seconds = 5.5;
/// Seconds between connection attempts while discovery is unreachable.
const RETRY_INTERVAL: Seconds = 0.3;

const TIMEOUTS: ReconnectTimeouts = ReconnectTimeouts {
    silence: SILENCE_TIMEOUT,
    max_first_answer: MAX_FIRST_LINE_TIMEOUT,
    retry_interval: RETRY_INTERVAL,
};

/// Why a watch could not be opened, or ended.
#[derive(Debug, Error)]
enum WatchError {
    /// The connection could not be established, failed, or was silent for too long.
    #[error("discovery: {0}")]
    LineStream(#[source] HttpError),
    /// The watch of a newer configuration is active.
    #[error("superseded by the watch of a newer configuration")]
    Superseded,
    /// A page is invalid.
    #[error("discovery sent an invalid page: {0}")]
    InvalidPage(#[source] DecodeError),
    /// An entry of a page is invalid.
    #[error("discovery sent an invalid entry")]
    InvalidEntry,
    /// A page is older than the previous page, or than the list that the watch resumed from.
    #[error("discovery sent an older list than the known one")]
    StalePage,
}

/// Starts a reconnect loop for the current discovery address. A loop of an earlier configuration ends by itself.
pub fn start(shared: &Arc<SharedState>) {
    let shared = shared.clone();
    let addresses = shared.addresses.get();
    spawn(move || {
        let connect = |attempts: &mut ConnectionAttempts| {
            let Err(error) = watch(&shared, addresses, attempts);
            error
        };
        let log_failure = |error: &WatchError| {
            tracing::warn!(discovery = %addresses.discovery, %error, "discovery watch ended");
        };
        keep_connected(&shared, addresses.version, &shared.discovery_health, &TIMEOUTS, connect, log_failure);
    });
}

/// Runs one watch until it fails. It resumes from the generation that the controller has applied, so that discovery
/// sends again any page that was not applied.
fn watch(
    shared: &SharedState,
    addresses: Addresses,
    attempts: &mut ConnectionAttempts,
) -> Result<Infallible, WatchError> {
    let generation = shared.endpoint_generation();
    let path = discovery::watch_path(generation);
    let line_stream =
        LineStream::open(addresses.discovery, &path, CONNECT_TIMEOUT, attempts.first_answer_timeout());
    let line_stream = line_stream.map_err(|error| first_line_error(error, attempts))?;
    let _descriptor = DescriptorGuard::count(&shared.descriptors.discovery);
    if !shared.discovery_watch.activate(addresses.version, line_stream.closer()) {
        return Err(WatchError::Superseded);
    }
    tracing::info!(discovery = %addresses.discovery, after_generation = generation, "discovery watch open");
    let mut watch = Watch {
        shared,
        config_version: addresses.version,
        generation,
        state: WatchState::Opened,
        line_stream,
    };
    let mut limiter = ReadLimiter::start(KNOWN_PEER_MAX_READ_TIME);
    loop {
        watch.receive(attempts)?;
        limiter.pause_if_due();
    }
}

enum WatchState<'a> {
    /// No line has arrived.
    Opened,
    /// A line has arrived. The connection counts as usable until the guard is dropped.
    Active { _usable: UsableConnection<'a> },
}

struct Watch<'a> {
    shared: &'a SharedState,
    /// Version of the configuration that has the address of discovery.
    config_version: u64,
    /// Generation of the last page, or at first of the list that the watch resumes from.
    generation: u64,
    state: WatchState<'a>,
    line_stream: LineStream,
}

impl Watch<'_> {
    /// Receives one line and forwards its page, if it has one.
    fn receive(&mut self, attempts: &mut ConnectionAttempts) -> Result<(), WatchError> {
        let names = &self.shared.names;
        let parse = |line: &[u8]| (!line.is_empty()).then(|| discovery::decode_page(line, names));
        let line = match self.line_stream.next_line(parse) {
            Ok(line) => line,
            Err(error) if matches!(self.state, WatchState::Opened) => {
                return Err(first_line_error(error, attempts));
            }
            Err(error) => return Err(WatchError::LineStream(error)),
        };
        if matches!(self.state, WatchState::Opened) {
            self.state = WatchState::Active { _usable: self.shared.discovery_health.connection_usable() };
        }
        attempts.on_answer();
        match line {
            None => Ok(()),
            Some(Ok(page)) => self.on_page(page),
            Some(Err(invalid)) => Err(self.reject_page(invalid)),
        }
    }

    /// Forwards a page. Returns an error, which ends the watch, if the page must be requested again: the next copy may
    /// be valid, or the controller may be able to apply it by then.
    fn on_page(&mut self, page: EndpointPage) -> Result<(), WatchError> {
        for _ in &page.invalid {
            self.shared.rejections.record(RejectionCause::EndpointEntry);
        }
        let has_invalid_entry = !page.invalid.is_empty();
        let is_older = page.generation < self.generation;
        self.generation = page.generation;
        if !self.send(page) {
            return Err(WatchError::Superseded);
        }
        if has_invalid_entry {
            return Err(WatchError::InvalidEntry);
        }
        if is_older {
            return Err(WatchError::StalePage);
        }
        Ok(())
    }

    /// Sends a page to the controller thread, after waiting for a page permit, as a page may be a complete list. Drops
    /// the page if the watch of a newer configuration has replaced this one meanwhile, as that watch brings newer
    /// pages. Returns whether this watch is still current.
    fn send(&self, page: EndpointPage) -> bool {
        self.shared.page_permits.wait();
        let is_current = self.shared.discovery_watch.is_current(self.config_version);
        if is_current {
            self.shared.inbox.send(ControllerEvent::EndpointPage(page));
        } else {
            self.shared.page_permits.post();
        }
        is_current
    }

    fn reject_page(&self, invalid: DecodeError) -> WatchError {
        self.shared.rejections.record(RejectionCause::EndpointPage);
        WatchError::InvalidPage(invalid)
    }
}

/// The error of a watch that failed before its first line. If it timed out, also lengthens the time-out of the next
/// watch.
fn first_line_error(error: HttpError, attempts: &mut ConnectionAttempts) -> WatchError {
    if matches!(error, HttpError::Timeout) {
        attempts.on_first_answer_timeout();
    }
    WatchError::LineStream(error)
}
