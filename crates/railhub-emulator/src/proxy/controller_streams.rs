//! A proxy's streams to the controllers: subscriptions, deltas and their acknowledgements, and load reports.
use super::Proxy;
use crate::routing::DeltaError;
use crate::sabotage::Sabotage;
use may::sync::Mutex;
use railhub_net::{connect, now, seconds, spawn, split_framed, FrameReader, FrameWriter, Task};
use railhub_proto::{
    from_controller, from_proxy, Ack, Delta, FromController, FromProxy, LoadReport, Nack, Subscribe,
    MAX_FROM_CONTROLLER_BYTES,
};
use railhub_record::{DeltaAcknowledged, DeltaReceived, EventKind, ProxyStream};
use std::io;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Seconds between checks whether a controller is running.
const CONTROLLER_CHECK_INTERVAL_SECONDS: f64 = 0.02;
/// Timeout for connecting to a controller, in seconds.
const CONNECT_TIMEOUT_SECONDS: f64 = 1.0;
/// Seconds that a stream must last for the backoff to be reset.
const MIN_STREAM_DURATION_SECONDS: f64 = 0.5;
/// Number of consecutive failures after which the backoff no longer doubles.
const MAX_BACKOFF_FAILURES: u32 = 3;

impl Proxy {
    /// Keeps a stream to each controller and sends load reports to all of them, until the returned tasks are dropped.
    ///
    /// # Panics
    /// If a holder of the environment panicked.
    pub fn follow_controllers(self: &Arc<Proxy>) -> Vec<Task> {
        let controllers = self.environment.controllers.lock().expect("no holder panics").len();
        let mut tasks = Vec::with_capacity(controllers + 1);
        for controller in 0..controllers {
            let proxy = self.clone();
            tasks.push(Task::spawn(move || proxy.keep_stream(controller)));
        }
        let proxy = self.clone();
        tasks.push(Task::spawn(move || proxy.keep_reporting()));
        tasks
    }

    /// Closes all streams to the controllers. The proxy reconnects afterwards.
    ///
    /// # Panics
    /// If a holder of a stream panicked.
    pub fn break_streams(&self) {
        let streams = std::mem::take(&mut *self.streams.lock().expect("no holder panics"));
        for writer in streams.into_values() {
            writer.lock().expect("no holder panics").close();
        }
    }

    /// Makes the proxy reject the next delta, even if it is valid.
    pub fn reject_next_delta(&self) {
        self.reject_next.store(true, Ordering::Relaxed);
    }

    /// Connects to a controller while it is running, and reconnects with backoff.
    fn keep_stream(self: Arc<Proxy>, controller: usize) {
        let process = now().to_bits() ^ u64::from(self.config.number);
        let mut failures = 0u32;
        loop {
            let address = self.environment.controllers.lock().expect("no holder panics")[controller];
            let Some(address) = address else {
                may::coroutine::sleep(seconds(CONTROLLER_CHECK_INTERVAL_SECONDS));
                continue;
            };
            let connected_at = now();
            if let Ok(stream) = connect(address, seconds(CONNECT_TIMEOUT_SECONDS)) {
                if let Ok((reader, writer)) = split_framed(stream, MAX_FROM_CONTROLLER_BYTES) {
                    self.run_stream(controller, reader, writer, process);
                }
            }
            let failed = now() - connected_at < MIN_STREAM_DURATION_SECONDS;
            failures = if failed { (failures + 1).min(MAX_BACKOFF_FAILURES) } else { 0 };
            let backoff_factor = f64::from(1 << failures.saturating_sub(1));
            let delay = self.random() * self.config.max_reconnect_delay * backoff_factor;
            may::coroutine::sleep(seconds(delay));
        }
    }

    /// Subscribes and handles the deltas of a stream until it ends.
    fn run_stream(&self, controller: usize, mut reader: FrameReader, mut writer: FrameWriter, process: u64) {
        let subscribe = FromProxy { payload: Some(self.subscription(controller, process)) };
        if writer.send(&subscribe).is_err() {
            return;
        }
        let writer = Arc::new(Mutex::new(writer));
        self.streams.lock().expect("no holder panics").insert(controller, writer.clone());
        let proxy = self.config.number;
        let stream =
            |open| EventKind::ProxyStream(ProxyStream { proxy, open, controller: controller as u32 });
        self.environment.recorder.record(now(), stream(true));
        self.receive_deltas(controller, &mut reader, &writer);
        self.environment.recorder.record(now(), stream(false));
        self.streams.lock().expect("no holder panics").remove(&controller);
        writer.lock().expect("no holder panics").close();
    }

    /// The message that subscribes to a controller from the version that the proxy has.
    fn subscription(&self, controller: usize, process: u64) -> from_proxy::Payload {
        let routing = self.routing.lock().expect("no holder panics");
        let state = routing.controller(controller);
        from_proxy::Payload::Subscribe(Subscribe {
            proxy: self.config.number,
            zone: self.config.zone,
            process,
            incarnation: state.incarnation,
            version: if state.has_gap { 0 } else { state.version },
        })
    }

    /// Receives deltas until the stream ends.
    fn receive_deltas(&self, controller: usize, reader: &mut FrameReader, writer: &Mutex<FrameWriter>) {
        while let Ok(FromController { payload: Some(payload) }) = reader.receive() {
            match payload {
                from_controller::Payload::Delta(delta) => {
                    if self.on_delta(controller, delta, writer).is_err() {
                        return;
                    }
                }
                from_controller::Payload::Goodbye(goodbye) => {
                    let proxy = self.config.number;
                    tracing::debug!(proxy, reason = goodbye.reason, "controller ended the stream");
                    return;
                }
            }
        }
    }

    /// Passes a delta through the update channel, applies it, and sends an Ack or a Nack.
    fn on_delta(&self, controller: usize, delta: Delta, writer: &Mutex<FrameWriter>) -> io::Result<()> {
        self.environment.channel.transmit(delta.cost());
        let delta = self.tamper(controller, delta);
        let (proxy, nonce) = (self.config.number, delta.nonce);
        let recorder = &self.environment.recorder;
        let received = DeltaReceived { proxy, delta: delta.clone(), controller: controller as u32 };
        recorder.record(now(), EventKind::DeltaReceived(received));
        let applied = self.apply(controller, &delta);
        let acknowledged = DeltaAcknowledged {
            proxy,
            nonce,
            rejected: applied.is_err(),
            controller: controller as u32,
            stale_slices: applied.as_ref().cloned().unwrap_or_default(),
        };
        recorder.record(now(), EventKind::DeltaAcknowledged(acknowledged));
        let payload = match applied {
            Ok(_) => from_proxy::Payload::Ack(Ack { nonce }),
            Err(error) => {
                self.routing.lock().expect("no holder panics").controller_mut(controller).has_gap = true;
                from_proxy::Payload::Nack(Nack { nonce, reason: error.to_string() })
            }
        };
        writer.lock().expect("no holder panics").send(&FromProxy { payload: Some(payload) })
    }

    /// Applies a delta and returns its stale slices.
    fn apply(&self, controller: usize, delta: &Delta) -> Result<Vec<u32>, DeltaError> {
        if self.reject_next.swap(false, Ordering::Relaxed) {
            return Err(DeltaError::RejectionInjected);
        }
        let fenced = self.sabotage != Some(Sabotage::AcceptsOldEpochs);
        self.routing.lock().expect("no holder panics").apply(controller, delta, fenced)
    }

    /// Sends a load report per interval. The first interval starts at a random time, so that proxies do not report at
    /// once.
    fn keep_reporting(self: Arc<Proxy>) {
        may::coroutine::sleep(seconds(self.random() * self.config.report_interval));
        loop {
            may::coroutine::sleep(seconds(self.config.report_interval));
            let report = self.load.lock().expect("no holder panics").take_report(now());
            let extra_delay = self.environment.extra_report_delay_ms.load(Ordering::Relaxed) as f64 / 1000.0;
            let proxy = self.clone();
            spawn(move || {
                may::coroutine::sleep(seconds(proxy.config.report_delay + extra_delay));
                proxy.send_report(report);
            });
        }
    }

    fn send_report(&self, report: LoadReport) {
        let streams = self.streams.lock().expect("no holder panics").clone();
        let message = FromProxy { payload: Some(from_proxy::Payload::LoadReport(report)) };
        for writer in streams.into_values() {
            let _ = writer.lock().expect("no holder panics").send(&message);
        }
    }
}
