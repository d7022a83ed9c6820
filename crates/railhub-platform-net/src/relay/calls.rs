//! Calls to the relay, one at a time.
use crate::descriptors::DescriptorGuard;
use crate::events::ControllerEvent;
use crate::relay::error::RelayError;
use crate::relay::line_reader::{new_line_splitter, next_line};
use crate::shared_state::SharedState;
use crate::timeouts::CONNECT_TIMEOUT;
use may::net::TcpStream;
use may::sync::Semphore;
use railhub::Seconds;
use railhub_net::{dial, now, reset_on_close, spawn, IdleTimeout};
use railhub_platform::wire::relay as wire;
use railhub_platform::{Call, CallResponse};
use railhub_proto::LineSplitter;
use std::io::{ErrorKind, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// Time-out in seconds for the answer to a call. The relay answers within 0.05 s or never; the rest allows for delays
/// of this process, which has only part of a core.
const CALL_TIMEOUT: Seconds = 0.25;
/// Seconds that a connection for calls may be idle and still be reused. The relay closes connections that are idle for
/// longer, and a call on a closed connection would have an unknown outcome.
const MAX_IDLE_TIME: Seconds = 1.0;
/// Maximum size of the start of an invalid answer that the error contains.
const MAX_LINE_START_BYTES: usize = 200;

/// Passes calls to the coroutine that makes them.
pub struct CallSender {
    slot: Arc<CallSlot>,
}

/// Holds the next call. One slot is enough, as the controller thread has at most one call in flight.
struct CallSlot {
    next: Mutex<Option<Call>>,
    filled: Semphore,
}

impl CallSlot {
    fn put(&self, call: Call) {
        *self.next.lock().expect("no holder panics") = Some(call);
        self.filled.post();
    }

    fn take(&self) -> Option<Call> {
        self.filled.wait();
        self.next.lock().expect("no holder panics").take()
    }
}

impl CallSender {
    /// Starts the coroutine that makes calls.
    pub fn start(shared: &Arc<SharedState>) -> CallSender {
        let slot = Arc::new(CallSlot { next: Mutex::new(None), filled: Semphore::new(0) });
        let mut caller = RelayCaller { shared: shared.clone(), idle_connection: None };
        let calls = slot.clone();
        spawn(move || loop {
            if let Some(call) = calls.take() {
                caller.make_call(&call);
            }
        });
        CallSender { slot }
    }

    /// Sends a call; its outcome is reported as a [`ControllerEvent::CallCompleted`].
    pub fn send(&self, call: Call) {
        self.slot.put(call);
    }
}

struct RelayCaller {
    shared: Arc<SharedState>,
    idle_connection: Option<CallConnection>,
}

struct CallConnection {
    address: SocketAddr,
    last_used_at: Seconds,
    stream: TcpStream,
    lines: LineSplitter,
}

impl RelayCaller {
    fn make_call(&mut self, call: &Call) {
        let answer = match self.exchange(call) {
            Ok(answer) => Some(answer),
            Err(error) => {
                tracing::info!(id = call.id, %error, "call outcome unknown");
                None
            }
        };
        self.shared.inbox.send(ControllerEvent::CallCompleted(answer));
    }

    fn exchange(&mut self, call: &Call) -> Result<CallResponse, RelayError> {
        let mut connection = self.take_or_open_connection()?;
        let _descriptor = DescriptorGuard::count(&self.shared.descriptors.relay);
        let timeout = IdleTimeout::both_halves(&connection.stream, CALL_TIMEOUT);
        let answer = connection.exchange(call, &timeout);
        let is_open = timeout.release();
        if answer.is_err() {
            reset_on_close(&connection.stream);
        } else if is_open {
            self.idle_connection = Some(connection);
        }
        answer
    }

    /// Takes the idle connection if it can be reused, otherwise opens a new one.
    fn take_or_open_connection(&mut self) -> Result<CallConnection, RelayError> {
        let address = self.shared.addresses.get().relay;
        if let Some(idle) = self.idle_connection.take().filter(|idle| idle.is_reusable(address)) {
            return Ok(idle);
        }
        let stream = dial(address, CONNECT_TIMEOUT).map_err(RelayError::Connect)?;
        Ok(CallConnection { address, last_used_at: now(), stream, lines: new_line_splitter() })
    }
}

impl CallConnection {
    /// Sends a call and waits for its answer.
    fn exchange(&mut self, call: &Call, timeout: &IdleTimeout) -> Result<CallResponse, RelayError> {
        self.stream.write_all(&call.bytes).map_err(RelayError::Io)?;
        let parse = |line: &[u8]| parse_answer(line, call);
        let answer = next_line(&mut self.stream, timeout, &mut self.lines, parse)??;
        self.last_used_at = now();
        Ok(answer)
    }

    /// Whether the connection is to this address, was used recently, is open, and has received nothing since its last
    /// answer. A call on a connection that the relay has closed would have an unknown outcome, and unsolicited bytes
    /// would be taken for its answer.
    fn is_reusable(&self, address: SocketAddr) -> bool {
        self.address == address && now() - self.last_used_at < MAX_IDLE_TIME && self.has_nothing_to_read()
    }

    fn has_nothing_to_read(&self) -> bool {
        let peeked = self.stream.inner().peek(&mut [0]);
        peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }
}

fn parse_answer(line: &[u8], call: &Call) -> Result<CallResponse, RelayError> {
    wire::decode_response(line, call.id, call.commands).map_err(|reason| {
        let shown = &line[..line.len().min(MAX_LINE_START_BYTES)];
        RelayError::InvalidAnswer { reason, line_start: String::from_utf8_lossy(shown).into_owned() }
    })
}
