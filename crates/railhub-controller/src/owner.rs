//! The thread that owns the core: receives events, lets the core process them, and passes on its commands.
//!
//! How an event is processed: it is queued in the [`Inbox`], received with up to [`MAX_EVENTS_PER_BATCH`] others, and
//! changes the core's state or its next batch. Then sessions are admitted, due timers fire, and the core runs its
//! batch.
use crate::core::{ControllerCore, Figures, LeaseChanges};
use crate::delta_queue::DeltaResponse;
use crate::inbox::{Inbox, OwnerEvent};
use crate::process_environment::{CommandTargets, ProcessEnvironment};
use crate::settings::ControllerSettings;
use crate::stream_handle::StreamHandle;
use railhub::{EndpointList, Phase, Seconds, SliceId};
use railhub_net::{now, seconds};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};

/// Maximum seconds that the owner sleeps, so that it sees stalled sessions and admits waiting ones in time.
const MAX_SLEEP: Seconds = 0.01;
/// Seconds that the owner sleeps after a batch of nothing but acknowledgements: they arrive by the hundred, and none of
/// them is urgent.
const ACK_GATHER_TIME: Seconds = 0.0001;
/// Maximum events received for one batch, so that a batch ends even while events keep coming.
const MAX_EVENTS_PER_BATCH: usize = 4096;
/// Incarnation numbers per second of the machine's clock.
const INCARNATIONS_PER_SECOND: f64 = 1e9;

/// The kind of events received from the inbox.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Received {
    Nothing,
    AcksOnly,
    Events,
    Stop,
}

/// Runs the core on its own thread.
pub(crate) struct Owner {
    core: ControllerCore<Arc<StreamHandle>>,
    environment: ProcessEnvironment,
    inbox: Arc<Inbox>,
    figures: Arc<Mutex<Figures>>,
}

impl Owner {
    /// Creates an owner with a new core. `incarnation`: the core's; `None` to derive it from the clock.
    pub(crate) fn new(
        settings: ControllerSettings,
        incarnation: Option<u64>,
        inbox: Arc<Inbox>,
        targets: CommandTargets,
        figures: Arc<Mutex<Figures>>,
    ) -> Owner {
        let now = now();
        let environment = ProcessEnvironment { class_names: settings.class_names.clone(), targets };
        let incarnation = incarnation.unwrap_or((now * INCARNATIONS_PER_SECOND) as u64);
        let core = ControllerCore::new(settings, incarnation, now);
        Owner { core, environment, inbox, figures }
    }

    /// Runs until it is sent [`OwnerEvent::Stop`].
    pub(crate) fn run(mut self) {
        self.inbox.bind_owner();
        let mut received = Received::Nothing;
        loop {
            self.sleep(received);
            received = self.receive();
            if received == Received::Stop {
                return;
            }
            if self.core.is_ready() {
                self.process();
            }
        }
    }

    fn process(&mut self) {
        self.core.admit_sessions(now());
        if self.core.take_due_timers(now()) {
            self.flush_load_reports();
        }
        self.core.process(now(), now, &mut self.environment);
        self.core.end_stalled_sessions(now(), &mut self.environment);
    }

    /// Processes the queued events, up to [`MAX_EVENTS_PER_BATCH`].
    fn receive(&mut self) -> Received {
        let mut received = Received::Nothing;
        for _ in 0..MAX_EVENTS_PER_BATCH {
            match self.inbox.next_event() {
                None => break,
                Some(OwnerEvent::Stop) => return Received::Stop,
                Some(event) => {
                    if !is_ack(&event) {
                        received = Received::Events;
                    } else if received == Received::Nothing {
                        received = Received::AcksOnly;
                    }
                    self.on_event(event);
                }
            }
        }
        received
    }

    fn sleep(&self, received: Received) {
        let now = now();
        let due = self.core.next_timer_due().unwrap_or(f64::INFINITY).min(now + MAX_SLEEP);
        if due <= now {
            return;
        }
        if self.core.awaits_responses() && received == Received::AcksOnly {
            std::thread::sleep(seconds(ACK_GATHER_TIME.min(due - now)));
        } else if self.inbox.has_no_events() {
            std::thread::park_timeout(seconds(due - now));
        }
    }

    fn on_event(&mut self, event: OwnerEvent) {
        let Owner { core, environment, .. } = self;
        match event {
            OwnerEvent::EndpointList(list) => {
                log_endpoint_list(&list);
                core.on_endpoint_list(list);
            }
            OwnerEvent::Assignments(assignments) => {
                tracing::info!(slices = assignments.len(), "slices assigned");
                core.on_assignments(assignments);
            }
            OwnerEvent::LeaseChanges(changes) => {
                log_lease_changes(&changes);
                core.on_lease_changes(now(), changes, environment);
            }
            OwnerEvent::HealthCheck(result) => core.on_health_check(result),
            OwnerEvent::Subscribed { stream, subscribe, handle } => {
                core.on_subscribe(now(), stream, subscribe, handle, environment);
            }
            OwnerEvent::Disconnected { stream, proxy, error } => {
                core.on_disconnect(now(), stream, proxy, &error.to_string(), environment);
            }
            OwnerEvent::DeltaResponse { stream, proxy, nonce, response, reason } => {
                let was_in_flight = core.on_delta_response(now(), proxy, stream, nonce, response);
                if was_in_flight && response == DeltaResponse::Nack {
                    tracing::error!(proxy = proxy.0, version = nonce, reason, "delta rejected by proxy");
                }
            }
            OwnerEvent::Stop => {}
        }
    }

    /// Passes the queued load reports to the core, which passes totals to the decision engine up to its rate limit.
    fn flush_load_reports(&mut self) {
        while let Some(received) = self.inbox.next_report() {
            let (proxy, zone) = (received.proxy, received.zone);
            if let Some(traffic) = &mut self.environment.targets.traffic {
                traffic.record(now(), proxy, zone, &received.report);
            }
            self.core.on_load_report(received.stream, proxy, zone, &received.report);
        }
        self.core.flush_load_reports(now());
        *self.figures.lock().expect("no holder panics") = self.current_figures();
    }

    /// The core's figures, with the counters of the inbox, the health checker and the traffic writer.
    fn current_figures(&self) -> Figures {
        let targets = &self.environment.targets;
        let mut figures = self.core.figures();
        figures.reports_dropped += self.inbox.reports_dropped.load(Ordering::Relaxed);
        figures.health_checks_dropped = targets.health_checker.dropped();
        figures.traffic_dropped = targets.traffic.as_ref().map_or(0, |traffic| traffic.dropped);
        figures
    }
}

fn is_ack(event: &OwnerEvent) -> bool {
    matches!(event, OwnerEvent::DeltaResponse { response: DeltaResponse::Ack, .. })
}

fn log_endpoint_list(list: &EndpointList) {
    let count = |phase| list.entries.iter().filter(|entry| entry.phase == phase).count();
    let (draining, gone) = (count(Phase::Draining), count(Phase::Gone));
    tracing::info!(
        hosts = list.entries.len(),
        complete = list.complete,
        draining,
        gone,
        "endpoint list updated"
    );
}

fn log_lease_changes(changes: &LeaseChanges) {
    let acquired: Vec<SliceId> = changes.acquired.iter().map(|acquired| acquired.slice).collect();
    tracing::info!(
        acquired = slice_numbers(&acquired),
        lost = slice_numbers(&changes.lost),
        expired = slice_numbers(&changes.expired),
        "leases changed"
    );
}

fn slice_numbers(slices: &[SliceId]) -> String {
    let numbers: Vec<String> = slices.iter().map(|slice| slice.0.to_string()).collect();
    numbers.join(" ")
}
