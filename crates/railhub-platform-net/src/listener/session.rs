//! Handles the messages of one inbound connection.
//!
//! States of the peer: unidentified (may ping, or join by naming the zone that it collects for) and collector (may ping
//! and report). Any other message closes the connection, except an invalid report, which is only dropped.
use crate::descriptors::DescriptorGuard;
use crate::events::LoadReport;
use crate::fairness::{ReadLimiter, KNOWN_PEER_MAX_READ_TIME, UNIDENTIFIED_PEER_MAX_READ_TIME};
use crate::listener::connection_table::ConnectionSlot;
use crate::rejections::RejectionCause;
use crate::shared_state::SharedState;
use may::net::TcpStream;
use railhub::ZoneId;
use railhub_platform::wire::collector;
use railhub_platform::{CollectorMessage, DecodeError};
use railhub_proto::Deframer;
use socket2::SockRef;
use std::io::{Read, Write};

/// Size of the read buffer: small, as it is on the coroutine's stack.
const READ_BUFFER_BYTES: usize = 2048;
/// Size of the socket's send buffer, which holds answers that the peer's kernel has not received yet. The kernel
/// doubles the size for its own bookkeeping.
const SEND_BUFFER_BYTES: usize = 32 << 10;
/// Maximum size of the start of a rejected message that is logged.
const MAX_SAMPLE_BYTES: usize = 160;

enum Peer<'a> {
    Unidentified,
    /// The collector of a zone. The guard counts its descriptor.
    Collector {
        _descriptor: DescriptorGuard<'a>,
    },
}

/// Whether the session continues.
#[derive(PartialEq, Eq)]
enum NextStep {
    Continue,
    Close,
}

/// The next unhandled message of the connection.
enum Received {
    /// The message has not arrived completely.
    Incomplete,
    Message(CollectorMessage),
    /// The message is invalid; `sample` is its start.
    Invalid {
        reason: DecodeError,
        sample: String,
    },
    /// The length of the message exceeds the limit.
    TooLong,
}

struct Session<'a> {
    shared: &'a SharedState,
    peer: Peer<'a>,
    deframer: Deframer,
    limiter: ReadLimiter,
    /// Declared before the stream, so that its time-out is dropped first.
    slot: ConnectionSlot,
    stream: TcpStream,
}

/// Serves the connection until the peer closes it, or an error or a rejected message closes it.
pub fn serve(shared: &SharedState, stream: TcpStream, slot: ConnectionSlot) {
    let _descriptor = DescriptorGuard::count(&shared.descriptors.inbound);
    // An error is ignored: with the default buffer size, a write that does not fit ends the session too, only later.
    let _ = SockRef::from(stream.inner()).set_send_buffer_size(SEND_BUFFER_BYTES);
    let mut session = Session {
        shared,
        peer: Peer::Unidentified,
        deframer: Deframer::new(collector::MAX_FIRST_MESSAGE_BYTES),
        limiter: ReadLimiter::start(UNIDENTIFIED_PEER_MAX_READ_TIME),
        slot,
        stream,
    };
    while session.step() == NextStep::Continue {}
}

impl<'a> Session<'a> {
    /// Handles the next message, or reads more bytes if it is not complete.
    fn step(&mut self) -> NextStep {
        match self.next_message() {
            Received::Incomplete => self.read(),
            Received::Message(message) => self.on_message(message),
            Received::Invalid { reason, sample } => self.on_invalid(reason, sample),
            Received::TooLong => self.reject_and_close(DecodeError::Unreadable, String::new()),
        }
    }

    fn next_message(&mut self) -> Received {
        let shared = self.shared;
        let message =
            self.deframer.body(|body| match collector::decode(body, &shared.names, shared.slice_count) {
                Ok(message) => Received::Message(message),
                Err(reason) => {
                    let start = &body[..body.len().min(MAX_SAMPLE_BYTES)];
                    Received::Invalid { reason, sample: String::from_utf8_lossy(start).into_owned() }
                }
            });
        match message {
            Ok(Some(received)) => received,
            Ok(None) => Received::Incomplete,
            Err(_) => Received::TooLong,
        }
    }

    fn read(&mut self) -> NextStep {
        let mut bytes = [0; READ_BUFFER_BYTES];
        match self.stream.read(&mut bytes) {
            Ok(count) if count > 0 => self.deframer.push(&bytes[..count]),
            _ => return NextStep::Close,
        }
        self.limiter.pause_if_due();
        if self.has_joined() {
            self.slot.on_bytes();
        }
        NextStep::Continue
    }

    fn on_message(&mut self, message: CollectorMessage) -> NextStep {
        match message {
            CollectorMessage::Ping => self.answer_ping(),
            CollectorMessage::Join(zone) if !self.has_joined() => self.join(zone),
            CollectorMessage::HostLoad(report) if self.has_joined() => {
                self.queue_report(LoadReport::Host(report))
            }
            CollectorMessage::SliceLoad(report) if self.has_joined() => {
                self.queue_report(LoadReport::Slice(report))
            }
            _ => self.reject_and_close(DecodeError::UnexpectedType, String::new()),
        }
    }

    fn answer_ping(&self) -> NextStep {
        let is_written = self.write(&collector::encode_pong());
        if is_written {
            NextStep::Continue
        } else {
            NextStep::Close
        }
    }

    fn join(&mut self, zone: ZoneId) -> NextStep {
        self.slot.join(zone, &self.stream);
        self.deframer.set_max_message_bytes(collector::MAX_MESSAGE_BYTES);
        self.limiter = ReadLimiter::start(KNOWN_PEER_MAX_READ_TIME);
        self.peer =
            Peer::Collector { _descriptor: DescriptorGuard::count(&self.shared.descriptors.collectors) };
        NextStep::Continue
    }

    fn queue_report(&self, report: LoadReport) -> NextStep {
        self.shared.inbox.push_report(report);
        NextStep::Continue
    }

    /// Drops an invalid report of a collector. In all other cases closes the connection: the peer has not joined, or
    /// the start of the next message is unknown.
    fn on_invalid(&self, reason: DecodeError, sample: String) -> NextStep {
        if self.has_joined() && reason != DecodeError::Unreadable {
            self.shared.rejections.record_with_sample(RejectionCause::Report(reason), || sample);
            return NextStep::Continue;
        }
        self.reject_and_close(reason, sample)
    }

    fn reject_and_close(&self, reason: DecodeError, sample: String) -> NextStep {
        let cause = match self.peer {
            Peer::Unidentified => RejectionCause::UnidentifiedPeer,
            Peer::Collector { .. } => RejectionCause::CollectorStream,
        };
        self.shared.rejections.record_with_sample(cause, || format!("{reason}: {sample}"));
        self.write(&collector::encode_refusal(reason));
        NextStep::Close
    }

    fn has_joined(&self) -> bool {
        matches!(self.peer, Peer::Collector { .. })
    }

    /// Writes without blocking, so that a peer that does not read its answers cannot hold up the coroutine. Returns
    /// whether all bytes were written.
    fn write(&self, bytes: &[u8]) -> bool {
        self.stream.inner().write(bytes).is_ok_and(|written| written == bytes.len())
    }
}
