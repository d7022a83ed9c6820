//! A proxy's connection to one host. It is opened on demand and carries many outstanding attempts at once.
use may::sync::{Mutex, SyncFlag};
use railhub_net::{connect, run_after, seconds, spawn, split_framed, FrameReader, FrameWriter};
use railhub_proto::{
    from_host, to_host, AttemptOutcome, Cancel, FromHost, Operation, ProxyHello, Response, ToHost,
    MAX_HOST_MESSAGE_BYTES,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;

/// Result of an attempt, as the proxy sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptResult {
    /// The host completed the attempt; its utilization, if the response contained it.
    Completed(Option<f64>),
    /// The host rejected the attempt, which was therefore not executed.
    Rejected,
    /// The host could not be reached, so the attempt was not executed.
    Unreachable,
    /// The host reported a failure or the connection broke; the attempt may have been executed.
    Failed,
    /// No response arrived within the timeout; the attempt may have been executed.
    TimedOut,
}

impl AttemptResult {
    /// Whether the attempt was certainly not executed.
    pub fn not_executed(self) -> bool {
        matches!(self, AttemptResult::Rejected | AttemptResult::Unreachable)
    }
}

/// An attempt that waits for its result.
#[derive(Default)]
struct PendingAttempt {
    done: SyncFlag,
    result: Mutex<Option<AttemptResult>>,
}

impl PendingAttempt {
    /// Sets the result and wakes the waiting caller. Only the first result is kept.
    fn finish(&self, result: AttemptResult) {
        self.result.lock().expect("no holder panics").get_or_insert(result);
        self.done.fire();
    }
}

type SharedWriter = Arc<Mutex<FrameWriter>>;

#[derive(Default)]
struct OpenConnection {
    /// Number of the latest connection: how many were opened so far.
    number: u64,
    writer: Option<SharedWriter>,
}

/// A proxy's connection to one host.
pub struct HostConnection {
    host: SocketAddr,
    proxy: u32,
    connect_timeout: f64,
    open: Mutex<OpenConnection>,
    /// Attempts without a result, by their id, each with the number of the connection that it was sent on.
    pending: Mutex<BTreeMap<u64, (u64, Arc<PendingAttempt>)>>,
    last_attempt_id: AtomicU64,
    outstanding: AtomicUsize,
}

impl HostConnection {
    /// Creates a connection that is opened with the first attempt. `connect_timeout` is in seconds.
    pub fn new(host: SocketAddr, proxy: u32, connect_timeout: f64) -> HostConnection {
        HostConnection {
            host,
            proxy,
            connect_timeout,
            open: Mutex::default(),
            pending: Mutex::default(),
            last_attempt_id: AtomicU64::new(0),
            outstanding: AtomicUsize::new(0),
        }
    }

    /// Number of attempts that have no result yet.
    pub fn outstanding(&self) -> usize {
        self.outstanding.load(Ordering::Relaxed)
    }

    /// Sends an operation and waits for its result for at most `timeout` seconds. Calls `on_send` just before the
    /// operation is written to the socket.
    pub fn call(
        self: &Arc<HostConnection>,
        operation: Operation,
        timeout: f64,
        on_send: impl FnOnce(),
    ) -> AttemptResult {
        self.outstanding.fetch_add(1, Ordering::Relaxed);
        let result = self.attempt(operation, timeout, on_send);
        self.outstanding.fetch_sub(1, Ordering::Relaxed);
        result
    }

    fn attempt(
        self: &Arc<HostConnection>,
        operation: Operation,
        timeout: f64,
        on_send: impl FnOnce(),
    ) -> AttemptResult {
        let Some((connection, writer)) = self.open_connection() else { return AttemptResult::Unreachable };
        let attempt_id = self.last_attempt_id.fetch_add(1, Ordering::Relaxed) + 1;
        let pending = Arc::new(PendingAttempt::default());
        self.pending.lock().expect("no holder panics").insert(attempt_id, (connection, pending.clone()));
        on_send();
        let operation = Operation { attempt_id, ..operation };
        if send(&writer, to_host::Payload::Operation(operation)).is_err() {
            self.pending.lock().expect("no holder panics").remove(&attempt_id);
            return AttemptResult::Failed;
        }
        let weak_pending = Arc::downgrade(&pending);
        run_after(timeout, move || {
            if let Some(pending) = weak_pending.upgrade() {
                pending.finish(AttemptResult::TimedOut);
            }
        });
        pending.done.wait();
        let result = pending.result.lock().expect("no holder panics").unwrap_or(AttemptResult::Failed);
        if result == AttemptResult::TimedOut {
            self.pending.lock().expect("no holder panics").remove(&attempt_id);
            let _ = send(&writer, to_host::Payload::Cancel(Cancel { attempt_id }));
        }
        result
    }

    /// Returns the number and the writer of the open connection, or connects if there is none; `None` if the host
    /// cannot be reached.
    fn open_connection(self: &Arc<HostConnection>) -> Option<(u64, SharedWriter)> {
        let mut open = self.open.lock().expect("no holder panics");
        if let Some(writer) = &open.writer {
            return Some((open.number, writer.clone()));
        }
        let (reader, writer) = self.connect()?;
        let writer = Arc::new(Mutex::new(writer));
        open.number += 1;
        open.writer = Some(writer.clone());
        let (connection, number) = (self.clone(), open.number);
        spawn(move || connection.read_responses(number, reader));
        Some((open.number, writer))
    }

    /// Connects and exchanges hello messages.
    fn connect(&self) -> Option<(FrameReader, FrameWriter)> {
        let stream = connect(self.host, seconds(self.connect_timeout)).ok()?;
        let (mut reader, mut writer) = split_framed(stream, MAX_HOST_MESSAGE_BYTES).ok()?;
        reader.set_idle_timeout(Some(self.connect_timeout));
        let hello = to_host::Payload::ProxyHello(ProxyHello { proxy: self.proxy });
        writer.send(&ToHost { payload: Some(hello) }).ok()?;
        let FromHost { payload: Some(from_host::Payload::Hello(_)) } = reader.receive().ok()? else {
            return None;
        };
        reader.set_idle_timeout(None);
        Some((reader, writer))
    }

    /// Reads responses until the connection breaks, then fails the attempts that are pending on it.
    fn read_responses(&self, number: u64, mut reader: FrameReader) {
        while let Ok(FromHost { payload: Some(payload) }) = reader.receive() {
            if let from_host::Payload::Response(response) = payload {
                self.on_response(&response);
            }
        }
        let mut open = self.open.lock().expect("no holder panics");
        if open.number == number {
            close(open.writer.take());
        }
        drop(open);
        self.fail_pending(number);
    }

    fn fail_pending(&self, connection: u64) {
        let mut pending = self.pending.lock().expect("no holder panics");
        let on_connection = pending.iter().filter(|(_, (number, _))| *number == connection);
        let attempt_ids: Vec<u64> = on_connection.map(|(attempt_id, _)| *attempt_id).collect();
        for attempt_id in attempt_ids {
            if let Some((_, attempt)) = pending.remove(&attempt_id) {
                attempt.finish(AttemptResult::Failed);
            }
        }
    }

    fn on_response(&self, response: &Response) {
        let pending = self.pending.lock().expect("no holder panics").remove(&response.attempt_id);
        if let Some((_, attempt)) = pending {
            attempt.finish(match response.outcome() {
                AttemptOutcome::Completed => AttemptResult::Completed(response.utilization),
                AttemptOutcome::Refused => AttemptResult::Rejected,
                AttemptOutcome::Failed => AttemptResult::Failed,
            });
        }
    }

    /// Closes the connection; the next attempt opens a new one.
    pub fn close(&self) {
        let writer = self.open.lock().expect("no holder panics").writer.take();
        close(writer);
    }
}

fn close(writer: Option<SharedWriter>) {
    if let Some(writer) = writer {
        writer.lock().expect("no holder panics").close();
    }
}

fn send(writer: &Mutex<FrameWriter>, payload: to_host::Payload) -> std::io::Result<()> {
    writer.lock().expect("no holder panics").send(&ToHost { payload: Some(payload) })
}
