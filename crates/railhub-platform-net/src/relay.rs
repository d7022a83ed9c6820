//! The relay: news on one connection, calls on another, one at a time and in order.
use crate::fairness::{ReadTurn, KNOWN_PEER_SPAN};
use crate::patience::ConnectBackoff;
use crate::shared::{Addresses, ControllerEvent, DescriptorGuard, Shared};
use may::net::TcpStream;
use may::sync::Semphore;
use railhub::Seconds;
use railhub_net::{dial, go, now, seconds, Guard};
use railhub_platform::wire::relay as wire;
use railhub_platform::{Call, CallResponse, InvalidEntry, RelayEvent, SubscriptionId};
use railhub_proto::Lines;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use thiserror::Error;

/// Seconds a connection may take to come up; it is on a near network, and the next try follows.
const CONNECT: Seconds = 0.5;
/// Seconds news may be silent: a sign of life comes each second.
const SILENT: Seconds = 2.5;
/// Seconds at most for a slow relay's answer to the subscription: short, as one that was cut off and is back may never
/// answer what was asked meanwhile.
const LONGEST_SILENT: Seconds = 5.0;
/// Seconds for an answer: the relay gives it within 0.05 or never; the rest is for our own lateness on part of a
/// core.
const ANSWER: Seconds = 0.25;
/// Seconds a connection for calls may stand idle and be used again: the relay closes idle ones by and by, and a
/// call that meets a closed one would have an unknown outcome.
const IDLE: Seconds = 1.0;
/// Seconds between tries while the relay is out of reach.
const PAUSE: Seconds = 0.15;
const READ_AT_ONCE: usize = 2048;

/// Why a connection to the relay, or a call on it, came to nothing.
#[derive(Debug, Error)]
enum RelayError {
    #[error("cannot connect: {0}")]
    Unreached(io::Error),
    #[error("cannot subscribe: {0}")]
    NotSubscribed(io::Error),
    #[error("no answer to the subscription")]
    NotAnswered,
    #[error("a new file names another relay")]
    Superseded,
    #[error("silent for too long")]
    Silent,
    #[error("closed")]
    Closed,
    #[error("{0}")]
    Endless(String),
    #[error("{0}")]
    Broken(io::Error),
    #[error("news: {0}")]
    Unreadable(InvalidEntry),
    /// With the start of the answer.
    #[error("{0}: {1}")]
    CallResponse(InvalidEntry, String),
}

/// Follows the news from the addresses that count now; an earlier follower ends by itself.
pub fn follow(shared: &Arc<Shared>) {
    let (shared, addresses) = (shared.clone(), shared.addresses());
    go(move || {
        let (mut failing, mut patience) = (false, ConnectBackoff::new(SILENT, LONGEST_SILENT));
        while shared.addresses().version == addresses.version {
            let why = listen(&shared, addresses, &mut patience, &mut failing);
            shared.relay_health.failed(&why);
            if !std::mem::replace(&mut failing, true) && shared.addresses().version == addresses.version {
                tracing::warn!(%why, "the relay's news ended: what was told holds until it is back");
            }
            may::coroutine::sleep(seconds(PAUSE));
        }
    });
}

fn listen(
    shared: &Arc<Shared>,
    addresses: Addresses,
    patience: &mut ConnectBackoff,
    failing: &mut bool,
) -> RelayError {
    let count = shared.asked.fetch_add(1, Ordering::Relaxed) + 1;
    let source = SubscriptionId { config_version: addresses.version, sequence: count };
    // The owner knows before the relay can.
    shared.inbox.tell(ControllerEvent::Asked(source));
    let why = subscribe(shared, addresses, source, patience, failing);
    shared.inbox.tell(ControllerEvent::Ended(source));
    why
}

fn subscribe(
    shared: &Arc<Shared>,
    addresses: Addresses,
    source: SubscriptionId,
    patience: &mut ConnectBackoff,
    failing: &mut bool,
) -> RelayError {
    let mut stream = match dial(addresses.relay, CONNECT) {
        Ok(stream) => stream,
        Err(fault) => return RelayError::Unreached(fault),
    };
    let _held = DescriptorGuard::one(&shared.held.relay);
    let mut guard = Guard::both_ways(&stream, patience.span());
    shared.counts.subscriptions.fetch_add(1, Ordering::Relaxed);
    if let Err(fault) = stream.write_all(&wire::encode_subscribe(source.sequence)) {
        return RelayError::NotSubscribed(fault);
    }
    let mut lines = Lines::new(wire::MAX_LINE_BYTES);
    let mut stands = None;
    let mut turn = ReadTurn::start(KNOWN_PEER_SPAN);
    loop {
        match next_line(&mut stream, &guard, &mut lines, wire::decode_event) {
            Ok(Ok(news)) => {
                if news == RelayEvent::Subscribed {
                    guard = Guard::both_ways(&stream, SILENT);
                    patience.reset();
                    if !shared.news_line.take_over(addresses.version, guard.closer()) {
                        return RelayError::Superseded;
                    }
                    *failing = false;
                    stands = Some(shared.relay_health.line_stands());
                    let source = source.sequence;
                    tracing::info!(source, relay = %addresses.relay, "subscribed to the relay's news");
                }
                tracing::trace!(source = source.sequence, ?news, "news");
                shared.inbox.tell(ControllerEvent::RelayEvent(source, news));
                turn.pause_if_long();
            }
            Ok(Err(spoilt)) => {
                shared.refuse("news that cannot be read");
                return RelayError::Unreadable(spoilt);
            }
            Err(RelayError::Silent) if stands.is_none() => {
                patience.lengthen();
                return RelayError::NotAnswered;
            }
            Err(fault) => return fault,
        }
    }
}

/// What `read` makes of the next line.
fn next_line<T>(
    stream: &mut TcpStream,
    guard: &Guard,
    lines: &mut Lines,
    read: impl FnOnce(&[u8]) -> T,
) -> Result<T, RelayError> {
    loop {
        if lines.has_line().map_err(|fault| RelayError::Endless(fault.to_string()))? {
            // Bytes that never make a line are no sign of life.
            guard.heard();
            return Ok(lines.line(read));
        }
        let mut bytes = [0; READ_AT_ONCE];
        match stream.read(&mut bytes) {
            // What came whole just as the guard fired counts.
            Ok(count) if count > 0 => lines.push(&bytes[..count]),
            _ if guard.fired() => return Err(RelayError::Silent),
            Ok(_) => return Err(RelayError::Closed),
            Err(fault) => return Err(RelayError::Broken(fault)),
        }
    }
}

/// Makes calls, one at a time.
pub struct Calls {
    next: Arc<(Mutex<Option<Call>>, Semphore)>,
}

impl Calls {
    pub fn start(shared: &Arc<Shared>) -> Calls {
        let next = Arc::new((Mutex::new(None), Semphore::new(0)));
        let (shared, waiting) = (shared.clone(), next.clone());
        go(move || {
            let mut line: Option<Line> = None;
            loop {
                waiting.1.wait();
                let call = waiting.0.lock().expect("no holder panics").take();
                let Some(call) = call else { continue };
                let answer = make(&shared, &mut line, &call);
                let answer =
                    answer.map_err(|why| tracing::info!(%why, id = call.id, "a call has no known end"));
                shared.inbox.tell(ControllerEvent::CallEnded(answer.ok()));
            }
        });
        Calls { next }
    }

    pub fn make(&self, call: Call) {
        *self.next.0.lock().expect("no holder panics") = Some(call);
        self.next.1.post();
    }
}

/// A connection for calls.
struct Line {
    to: SocketAddr,
    used_at: Seconds,
    stream: TcpStream,
    lines: Lines,
}

fn make(shared: &Shared, line: &mut Option<Line>, call: &Call) -> Result<CallResponse, RelayError> {
    let to = shared.addresses().relay;
    let fresh = |line: &Line| line.to == to && now() - line.used_at < IDLE && is_quiet(&line.stream);
    let kept = line.take().filter(fresh);
    let mut open = match kept {
        Some(open) => open,
        None => {
            let stream = dial(to, CONNECT).map_err(RelayError::Unreached)?;
            Line { to, used_at: now(), stream, lines: Lines::new(wire::MAX_LINE_BYTES) }
        }
    };
    let _held = DescriptorGuard::one(&shared.held.relay);
    let guard = Guard::both_ways(&open.stream, ANSWER);
    open.stream.write_all(&call.bytes).map_err(RelayError::Broken)?;
    let read = |bytes: &[u8]| {
        let end = bytes.len().min(200);
        let shown = String::from_utf8_lossy(&bytes[..end]).into_owned();
        wire::decode_response(bytes, call.id, call.commands)
            .map_err(|spoilt| RelayError::CallResponse(spoilt, shown))
    };
    let answer = next_line(&mut open.stream, &guard, &mut open.lines, read)??;
    open.used_at = now();
    *line = guard.let_go().then_some(open);
    Ok(answer)
}

/// Whether a kept connection stands and nothing came on it since its last answer: a call on one that the relay has
/// closed would have no known end, and what came unasked would pass for its answer.
fn is_quiet(stream: &TcpStream) -> bool {
    stream.inner().peek(&mut [0]).is_err_and(|fault| fault.kind() == std::io::ErrorKind::WouldBlock)
}

#[cfg(test)]
mod tests;
