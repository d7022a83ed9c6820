//! The discovery watch: the endpoint list as it changes, resumed from the generation that the controller has.
//!
//! A page: the watch reads a line, takes a page permit, sends the page to the controller thread, which applies it and
//! returns the permit. A page with an invalid entry, or older than the one before, ends the watch: the next
//! one requests it again. The last list stays in force while no watch is open.
//!
//! States of a watch: opened (until its first line), active (each line is a page, or empty as a sign of life), ended.
use crate::addresses::Addresses;
use crate::connect_backoff::CONNECT_TIMEOUT;
use crate::descriptors::DescriptorGuard;
use crate::events::ControllerEvent;
use crate::fairness::{ReadLimiter, KNOWN_PEER_READ_LIMIT};
use crate::follower::{follow_peer, ConnectionAttempts, FollowerTimeouts};
use crate::peer_health::UsableConnection;
use crate::rejections::RejectionCause;
use crate::shared_state::SharedState;
use railhub::Seconds;
use railhub_net::http::{HttpError, LineStream};
use railhub_net::spawn;
use railhub_platform::wire::discovery;
use railhub_platform::{DecodeError, EndpointPage};
use std::convert::Infallible;
use std::sync::Arc;
use thiserror::Error;

/// Seconds a watch may be silent: an empty line comes every 2.
const SILENCE_TIMEOUT: Seconds = 4.5;
/// Seconds at most for a slow discovery's first line: with the retry interval below the 6 after which the platform
/// counts the list as received, should a discovery that is back not answer a request that came while it was down.
const MAX_FIRST_LINE_TIMEOUT: Seconds = 5.5;
/// Seconds between attempts while discovery is out of reach.
const RETRY_INTERVAL: Seconds = 0.3;

const TIMEOUTS: FollowerTimeouts = FollowerTimeouts {
    silence: SILENCE_TIMEOUT,
    max_first_answer: MAX_FIRST_LINE_TIMEOUT,
    retry_interval: RETRY_INTERVAL,
};

/// Why a watch ended, or could not be opened.
#[derive(Debug, Error)]
enum WatchError {
    /// The connection could not be opened, broke or was silent for too long.
    #[error("discovery: {0}")]
    LineStream(#[source] HttpError),
    /// A newer configuration's watch is active.
    #[error("superseded by the watch of a newer configuration")]
    Superseded,
    /// A page is invalid.
    #[error("discovery sent an invalid page: {0}")]
    InvalidPage(#[source] DecodeError),
    /// A page has an invalid entry.
    #[error("discovery sent an invalid entry")]
    InvalidEntry,
    /// A page is older than the one before, or than the list that the watch resumed from.
    #[error("discovery sent an older list than the known one")]
    StalePage,
}

/// Starts a follower of the discovery whose address is in force now; an earlier follower ends by itself.
pub fn follow(shared: &Arc<SharedState>) {
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
        follow_peer(&shared, addresses.version, &shared.discovery_health, &TIMEOUTS, connect, log_failure);
    });
}

/// Runs one watch until it fails. It resumes from what the controller has applied: a page that it did not apply is
/// sent again.
fn watch(
    shared: &SharedState,
    addresses: Addresses,
    attempts: &mut ConnectionAttempts,
) -> Result<Infallible, WatchError> {
    let generation = shared.endpoint_generation();
    let path = discovery::watch_path(generation);
    let feed = LineStream::open(addresses.discovery, &path, CONNECT_TIMEOUT, attempts.first_answer_timeout());
    let feed = feed.map_err(|error| unanswered(error, attempts))?;
    let _descriptor = DescriptorGuard::count(&shared.descriptors.discovery);
    if !shared.discovery_watch.activate(addresses.version, feed.closer()) {
        return Err(WatchError::Superseded);
    }
    tracing::info!(discovery = %addresses.discovery, after_generation = generation, "discovery watch open");
    let mut watch = Watch { shared, version: addresses.version, generation, state: WatchState::Opened, feed };
    let mut limiter = ReadLimiter::start(KNOWN_PEER_READ_LIMIT);
    loop {
        watch.receive(attempts)?;
        limiter.pause_if_due();
    }
}

enum WatchState<'a> {
    /// No line has come.
    Opened,
    /// A line has come: it counts as usable until this is dropped.
    Active { _usable: UsableConnection<'a> },
}

struct Watch<'a> {
    shared: &'a SharedState,
    /// Of the configuration that named discovery.
    version: u64,
    /// Of the last page, or of the list that the watch resumes from.
    generation: u64,
    state: WatchState<'a>,
    feed: LineStream,
}

impl Watch<'_> {
    /// Receives one line and sends its page on, if it has one.
    fn receive(&mut self, attempts: &mut ConnectionAttempts) -> Result<(), WatchError> {
        let names = &self.shared.names;
        let parse = |line: &[u8]| (!line.is_empty()).then(|| discovery::decode_page(line, names));
        let line = match self.feed.next_line(parse) {
            Ok(line) => line,
            Err(error) if matches!(self.state, WatchState::Opened) => {
                return Err(unanswered(error, attempts));
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

    /// Sends a page on; ends the watch if the page is to be requested again, as the next copy may be valid, or
    /// be applied by then.
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

    /// Sends a page to the controller thread, once there is room: a page may be a complete list. A page that was read
    /// before a newer configuration's watch closed this one is older than what that one brings: it is dropped. Returns
    /// whether this watch is still current.
    fn send(&self, page: EndpointPage) -> bool {
        self.shared.page_permits.wait();
        let is_current = self.shared.discovery_watch.is_current(self.version);
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

/// A connection that ended before its first line.
fn unanswered(error: HttpError, attempts: &mut ConnectionAttempts) -> WatchError {
    if matches!(error, HttpError::Timeout) {
        attempts.on_first_answer_timeout();
    }
    WatchError::LineStream(error)
}
