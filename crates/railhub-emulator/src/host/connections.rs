//! Connections to a host: HTTP health checks, and proxies that send operations. Both use the same port.
use super::{Host, HostState, Job};
use may::net::TcpStream;
use may::sync::Mutex;
use railhub_net::{
    http, now, reset_on_close, seconds, spawn, split_framed, FrameReader, FrameWriter, IdleTimeout,
};
use railhub_proto::{from_host, to_host, Cancel, FromHost, HostHello, ToHost, MAX_HOST_MESSAGE_BYTES};
use std::io::{self, Read};
use std::sync::Arc;

/// Seconds for which the connection of an unanswered health check stays open; longer than any health checker waits.
const HEALTH_CHECK_IDLE_TIMEOUT_SECONDS: f64 = 3.0;

impl Host {
    /// Accepts a connection, or resets it if the process is down or has too many connections.
    pub(super) fn accept(self: Arc<Host>, stream: TcpStream) {
        if !self.with_state(|state| state.alive && state.connections.len() < self.config.max_connections) {
            reset_on_close(&stream);
            return;
        }
        spawn(move || {
            let _ = self.serve(stream);
        });
    }

    /// Serves a health check if the first byte is that of an HTTP request, and a proxy otherwise.
    fn serve(self: Arc<Host>, mut stream: TcpStream) -> io::Result<()> {
        let mut first_byte = [0u8; 1];
        let idle_timeout = IdleTimeout::read_half(&stream, HEALTH_CHECK_IDLE_TIMEOUT_SECONDS);
        if stream.peek(&mut first_byte)? == 0 {
            return Ok(());
        }
        if first_byte[0].is_ascii_alphabetic() {
            return self.answer_health_check(&mut stream);
        }
        drop(idle_timeout);
        let (reader, writer) = split_framed(stream, MAX_HOST_MESSAGE_BYTES)?;
        self.serve_proxy(reader, Arc::new(Mutex::new(writer)));
        Ok(())
    }

    fn answer_health_check(&self, stream: &mut TcpStream) -> io::Result<()> {
        let mut buffer = Vec::new();
        if !matches!(http::read_request(stream, &mut buffer), Ok(Some(_))) {
            return Ok(());
        }
        let faults = self.with_state(|state| state.faults.clone());
        if faults.hangs {
            // Keeps the connection open until the health checker closes it or the idle timeout expires.
            let mut buffer = [0u8; 1];
            let _ = stream.read(&mut buffer);
            return Ok(());
        }
        self.wait_while_paused(self.with_state(|state| state.process));
        may::coroutine::sleep(seconds(self.config.health_check_work * faults.slowdown / self.config.speed));
        let status = match (faults.fails, faults.drains) {
            (true, _) => 500,
            (false, true) => 503,
            (false, false) => 200,
        };
        http::write_response(stream, status, b"")
    }

    fn serve_proxy(self: Arc<Host>, mut reader: FrameReader, writer: Arc<Mutex<FrameWriter>>) {
        let (connection, started_at) = self.with_state(|state| {
            state.last_connection += 1;
            state.connections.insert(state.last_connection, writer.clone());
            (state.last_connection, state.started_at)
        });
        while let Ok(ToHost { payload: Some(payload) }) = reader.receive() {
            match payload {
                to_host::Payload::ProxyHello(_) => {
                    send(&writer, from_host::Payload::Hello(HostHello { started: started_at }));
                }
                to_host::Payload::Operation(operation) => {
                    let writer = writer.clone();
                    self.clone().enqueue(Job { connection, writer, operation, received_at: now() });
                }
                to_host::Payload::Cancel(cancel) => {
                    self.with_state(|state| cancel_queued(state, connection, &cancel));
                }
            }
        }
        self.with_state(|state| _ = state.connections.remove(&connection));
        writer.lock().expect("no holder panics").close();
    }
}

/// Marks an operation as cancelled if it is still in the queue.
fn cancel_queued(state: &mut HostState, connection: u64, cancel: &Cancel) {
    let key = (connection, cancel.attempt_id);
    if state.queue.iter().any(|job| job.key() == key) {
        state.cancelled.insert(key);
    }
}

/// Sends a message to a proxy. Errors are ignored, because the reader of a broken connection closes it.
pub(super) fn send(writer: &Mutex<FrameWriter>, payload: from_host::Payload) {
    let _ = writer.lock().expect("no holder panics").send(&FromHost { payload: Some(payload) });
}
