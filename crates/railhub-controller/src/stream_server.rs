//! Serves the proxies' streams, with a reader and a writer coroutine each.
//!
//! How a stream is served: it is counted, and its first message must be a subscription. Then its writer starts, and the
//! subscription is sent to the owner of the core. The reader passes on each message until one is invalid, the rate
//! limit is exceeded, or the connection ends. Then the writer sends a goodbye with the reason, and the owner gets the
//! disconnect.
use crate::core::StreamId;
use crate::delta_queue::{DeltaResponse, MessageQuota, WriterAction};
use crate::goodbye::{goodbye_reason, READER_STOPPED};
use crate::inbox::{Inbox, OwnerEvent, ReceivedReport};
use crate::lease_table::LeaseTable;
use crate::message_rate_limiter::MessageRateLimiter;
use crate::report_validation::validate;
use crate::session_error::SessionError;
use crate::stream_handle::{StreamAction, StreamHandle};
use may::net::TcpStream;
use railhub::{ProxyId, Seconds, ZoneId};
use railhub_net::{now, run_after, spawn, split_framed, FrameReader, FrameWriter};
use railhub_proto::{
    from_controller, from_proxy, FromController, FromProxy, Goodbye, Subscribe, MAX_FROM_PROXY_BYTES,
};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;

/// Seconds within which a goodbye must be sent.
const GOODBYE_TIMEOUT: Seconds = 0.2;

/// Limits of streams.
#[derive(Clone, Copy, Debug)]
pub struct StreamLimits {
    /// Seconds within which the subscription must arrive.
    pub subscribe_timeout: Seconds,
    /// Seconds within which each further message must arrive, and within which a message must be sent.
    pub idle_timeout: Seconds,
    /// Streams open at once.
    pub max_streams: usize,
    /// Quota of messages to one proxy.
    pub quota: MessageQuota,
}

/// Serves new connections, and counts and numbers the streams.
pub struct StreamServer {
    limits: StreamLimits,
    inbox: Arc<Inbox>,
    /// The slices that may be published, if controllers share them.
    leases: Option<Arc<LeaseTable>>,
    last_stream: AtomicU64,
    open_streams: AtomicUsize,
}

impl StreamServer {
    /// Creates a server without streams.
    pub fn new(limits: StreamLimits, inbox: Arc<Inbox>, leases: Option<Arc<LeaseTable>>) -> StreamServer {
        let (last_stream, open_streams) = (AtomicU64::new(0), AtomicUsize::new(0));
        StreamServer { limits, inbox, leases, last_stream, open_streams }
    }

    /// Serves a new connection in its own coroutine.
    pub fn serve(self: &Arc<StreamServer>, connection: TcpStream) {
        let limit = self.limits.max_streams;
        if self.open_streams.fetch_add(1, Ordering::Relaxed) >= limit {
            self.open_streams.fetch_sub(1, Ordering::Relaxed);
            tracing::warn!(limit, "stream rejected, too many are open");
            return;
        }
        let server = self.clone();
        spawn(move || {
            let stream = StreamId(server.last_stream.fetch_add(1, Ordering::Relaxed) + 1);
            if let Ok((reader, writer)) = split_framed(connection, MAX_FROM_PROXY_BYTES) {
                server.run_stream(stream, reader, writer);
            }
            server.open_streams.fetch_sub(1, Ordering::Relaxed);
        });
    }

    /// Serves a stream from its first message to its end.
    fn run_stream(&self, stream: StreamId, mut reader: FrameReader, mut writer: FrameWriter) {
        reader.set_idle_timeout(Some(self.limits.subscribe_timeout));
        writer.set_send_timeout(self.limits.idle_timeout);
        let subscribe = match read_subscription(&mut reader) {
            Ok(subscribe) => subscribe,
            Err(error) => {
                tracing::warn!(stream = stream.0, %error, "stream ended before it subscribed");
                return send_goodbye(&mut writer, &goodbye_reason(&error));
            }
        };
        let proxy = ProxyId(subscribe.proxy as u16);
        let zone = ZoneId(subscribe.zone as u16);
        let handle = Arc::new(StreamHandle::new(self.limits.quota, self.leases.clone()));
        let _close_on_drop = CloseOnDrop(handle.clone());
        let writer_handle = handle.clone();
        spawn(move || run_writer(writer, &writer_handle));
        self.inbox.send(OwnerEvent::Subscribed { stream, subscribe, handle: handle.clone() });
        reader.set_idle_timeout(Some(self.limits.idle_timeout));
        let session = SessionReader { stream, proxy, zone, inbox: &self.inbox };
        let error = session.run(&mut reader);
        handle.request_close(&goodbye_reason(&error));
        self.inbox.send(OwnerEvent::Disconnected { stream, proxy, error });
    }
}

/// Stops the writer when the reader ends, even by a panic.
struct CloseOnDrop(Arc<StreamHandle>);

impl Drop for CloseOnDrop {
    fn drop(&mut self) {
        self.0.request_close(READER_STOPPED);
    }
}

fn read_subscription(reader: &mut FrameReader) -> Result<Subscribe, SessionError> {
    let message: FromProxy = reader.receive()?;
    let Some(from_proxy::Payload::Subscribe(subscribe)) = message.payload else {
        return Err(SessionError::NoSubscription);
    };
    let (proxy, zone) = (subscribe.proxy, subscribe.zone);
    if u16::try_from(proxy.max(zone)).is_err() {
        return Err(SessionError::NumberTooLarge { proxy, zone });
    }
    Ok(subscribe)
}

/// Passes on what a proxy sends after its subscription.
struct SessionReader<'a> {
    stream: StreamId,
    proxy: ProxyId,
    zone: ZoneId,
    inbox: &'a Inbox,
}

impl SessionReader<'_> {
    /// Reads until the stream ends.
    fn run(&self, reader: &mut FrameReader) -> SessionError {
        let mut limiter = MessageRateLimiter::new(now());
        loop {
            if let Err(error) = self.read_message(reader) {
                return error;
            }
            if !limiter.allow(now()) {
                return SessionError::TooManyMessages;
            }
        }
    }

    /// Reads one message. Not inlined, so that the decoded message does not enlarge the stack of an idle stream.
    #[inline(never)]
    fn read_message(&self, reader: &mut FrameReader) -> Result<(), SessionError> {
        let message: FromProxy = reader.receive()?;
        match message.payload {
            Some(from_proxy::Payload::Ack(ack)) => {
                self.forward_response(ack.nonce, DeltaResponse::Ack, String::new());
            }
            Some(from_proxy::Payload::Nack(nack)) => {
                self.forward_response(nack.nonce, DeltaResponse::Nack, nack.reason);
            }
            Some(from_proxy::Payload::LoadReport(report)) => {
                validate(&report)?;
                let (stream, proxy, zone) = (self.stream, self.proxy, self.zone);
                self.inbox.push_report(ReceivedReport { stream, proxy, zone, report });
            }
            Some(from_proxy::Payload::Subscribe(_)) => return Err(SessionError::SecondSubscription),
            None => return Err(SessionError::UnknownMessage),
        }
        Ok(())
    }

    fn forward_response(&self, nonce: u64, response: DeltaResponse, reason: String) {
        let (stream, proxy) = (self.stream, self.proxy);
        self.inbox.send(OwnerEvent::DeltaResponse { stream, proxy, nonce, response, reason });
    }
}

/// Sends the deltas of the queue until the stream ends. Holds no lock while it sends.
fn run_writer(mut writer: FrameWriter, handle: &Arc<StreamHandle>) {
    loop {
        let action = match handle.next_action(now()) {
            StreamAction::Close(reason) => return send_goodbye(&mut writer, &reason),
            StreamAction::Continue(action) => action,
        };
        match action {
            WriterAction::Wait => handle.wait(),
            WriterAction::WaitUntil(until) => {
                let waiting = handle.clone();
                run_after(until - now(), move || waiting.wake());
                handle.wait();
            }
            WriterAction::Write(publication) => {
                let without_expired = handle.without_expired(&publication);
                let bytes = without_expired.as_ref().unwrap_or(&publication.bytes);
                if writer.send_bytes(bytes).is_err() {
                    return writer.close();
                }
            }
        }
    }
}

fn send_goodbye(writer: &mut FrameWriter, reason: &str) {
    writer.set_send_timeout(GOODBYE_TIMEOUT);
    let goodbye = Goodbye { reason: reason.to_owned() };
    let _ = writer.send(&FromController { payload: Some(from_controller::Payload::Goodbye(goodbye)) });
    writer.close();
}
