//! One inbound connection's messages, from the first to its end.
//!
//! States of the peer: unidentified (may ping, or join by naming the zone that it collects for) and collector (may ping
//! and report). Anything else ends the connection, but an invalid report costs only itself.
use crate::descriptors::DescriptorGuard;
use crate::events::LoadReport;
use crate::fairness::{ReadLimiter, KNOWN_PEER_READ_LIMIT, UNIDENTIFIED_PEER_READ_LIMIT};
use crate::listener::connection_table::ConnectionPlace;
use crate::rejections::RejectionCause;
use crate::shared_state::SharedState;
use may::net::TcpStream;
use railhub::ZoneId;
use railhub_platform::wire::collector;
use railhub_platform::{CollectorMessage, DecodeError};
use railhub_proto::Deframer;
use socket2::SockRef;
use std::io::{Read, Write};

/// Bytes read at once: on the coroutine's stack, so small.
const READ_BUFFER_SIZE: usize = 2048;
/// Bytes of room for answers that a peer has not read: the kernel doubles it for its own bookkeeping. What the peer's
/// own kernel has taken does not count.
const SEND_BUFFER_SIZE: usize = 32 << 10;
/// Bytes of a rejected message that the log shows.
const MAX_MESSAGE_SHOWN: usize = 160;

enum Peer<'a> {
    Unidentified,
    /// A zone's collector, whose descriptor is counted as one.
    Collector {
        _descriptor: DescriptorGuard<'a>,
    },
}

/// Whether the session goes on.
#[derive(PartialEq, Eq)]
enum Next {
    Continue,
    Close,
}

/// The first message that is not handled yet.
enum Received {
    /// It has not come completely.
    Nothing,
    Message(CollectorMessage),
    /// It is invalid; `shown` is its start.
    Invalid {
        reason: DecodeError,
        shown: String,
    },
    /// The length of a message is over the limit.
    TooLong,
}

struct Session<'a> {
    shared: &'a SharedState,
    peer: Peer<'a>,
    deframer: Deframer,
    limiter: ReadLimiter,
    /// Before the stream, so that its time-out is dropped first.
    place: ConnectionPlace,
    stream: TcpStream,
}

/// Serves the connection until the peer ends it, or must be closed.
pub fn serve(shared: &SharedState, stream: TcpStream, place: ConnectionPlace) {
    let _descriptor = DescriptorGuard::count(&shared.descriptors.inbound);
    // Where the system refuses, a write that does not fit ends the session all the same, only later.
    let _ = SockRef::from(stream.inner()).set_send_buffer_size(SEND_BUFFER_SIZE);
    let mut session = Session {
        shared,
        peer: Peer::Unidentified,
        deframer: Deframer::new(collector::MAX_FIRST_MESSAGE_BYTES),
        limiter: ReadLimiter::start(UNIDENTIFIED_PEER_READ_LIMIT),
        place,
        stream,
    };
    while session.step() == Next::Continue {}
}

impl<'a> Session<'a> {
    /// Handles the next message, or reads more bytes if it has not come completely.
    fn step(&mut self) -> Next {
        match self.next_message() {
            Received::Nothing => self.read(),
            Received::Message(message) => self.on_message(message),
            Received::Invalid { reason, shown } => self.on_invalid(reason, shown),
            Received::TooLong => self.close_with(DecodeError::Unreadable, String::new()),
        }
    }

    fn next_message(&mut self) -> Received {
        let shared = self.shared;
        let message =
            self.deframer.body(|body| match collector::decode(body, &shared.names, shared.slices) {
                Ok(message) => Received::Message(message),
                Err(reason) => {
                    let start = &body[..body.len().min(MAX_MESSAGE_SHOWN)];
                    Received::Invalid { reason, shown: String::from_utf8_lossy(start).into_owned() }
                }
            });
        match message {
            Ok(Some(received)) => received,
            Ok(None) => Received::Nothing,
            Err(_) => Received::TooLong,
        }
    }

    fn read(&mut self) -> Next {
        let mut bytes = [0; READ_BUFFER_SIZE];
        match self.stream.read(&mut bytes) {
            Ok(count) if count > 0 => self.deframer.push(&bytes[..count]),
            _ => return Next::Close,
        }
        self.limiter.pause_if_due();
        if self.has_joined() {
            self.place.on_bytes();
        }
        Next::Continue
    }

    fn on_message(&mut self, message: CollectorMessage) -> Next {
        match message {
            CollectorMessage::Ping => self.answer_ping(),
            CollectorMessage::Join(zone) if !self.has_joined() => self.join(zone),
            CollectorMessage::HostLoad(report) if self.has_joined() => self.report(LoadReport::Host(report)),
            CollectorMessage::SliceLoad(report) if self.has_joined() => {
                self.report(LoadReport::Slice(report))
            }
            _ => self.close_with(DecodeError::UnexpectedType, String::new()),
        }
    }

    fn answer_ping(&self) -> Next {
        let is_written = self.write(&collector::encode_pong());
        if is_written {
            Next::Continue
        } else {
            Next::Close
        }
    }

    fn join(&mut self, zone: ZoneId) -> Next {
        self.place.join(zone, &self.stream);
        self.deframer.set_limit(collector::MAX_MESSAGE_BYTES);
        self.limiter = ReadLimiter::start(KNOWN_PEER_READ_LIMIT);
        self.peer =
            Peer::Collector { _descriptor: DescriptorGuard::count(&self.shared.descriptors.collectors) };
        Next::Continue
    }

    fn report(&self, report: LoadReport) -> Next {
        self.shared.inbox.push_report(report);
        Next::Continue
    }

    /// An invalid report of a collector is dropped alone, unless nothing that follows can be trusted.
    fn on_invalid(&self, reason: DecodeError, shown: String) -> Next {
        if self.has_joined() && reason != DecodeError::Unreadable {
            self.shared.rejections.record_with_sample(RejectionCause::Report(reason), || shown);
            return Next::Continue;
        }
        self.close_with(reason, shown)
    }

    fn close_with(&self, reason: DecodeError, shown: String) -> Next {
        let cause = match self.peer {
            Peer::Unidentified => RejectionCause::UnidentifiedPeer,
            Peer::Collector { .. } => RejectionCause::CollectorStream,
        };
        self.shared.rejections.record_with_sample(cause, || format!("{reason}: {shown}"));
        self.write(&collector::encode_refusal(reason));
        Next::Close
    }

    fn has_joined(&self) -> bool {
        matches!(self.peer, Peer::Collector { .. })
    }

    /// Writes without waiting: a peer that does not read what little is written must not hold a coroutine. Returns
    /// whether all was written.
    fn write(&self, bytes: &[u8]) -> bool {
        self.stream.inner().write(bytes).is_ok_and(|written| written == bytes.len())
    }
}
