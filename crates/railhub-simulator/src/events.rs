//! The event queue: events in order of their time; events of the same time in the order they were scheduled.
use crate::operations::OperationId;
use railhub_controller::core::StreamId;
use railhub_controller::publication::Publication;
use railhub_emulator::AttemptResult;
use railhub_proto::LoadReport;
use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::sync::Arc;

/// Index into [`Simulation::hosts`](crate::simulation::Simulation).
pub type HostIndex = usize;
/// Index into [`Simulation::proxies`](crate::simulation::Simulation).
pub type ProxyIndex = usize;

pub enum ScheduledEvent {
    /// Index into the arrivals of the scenario.
    OperationArrives(usize),
    RequestStarts(OperationId),
    HostSelection(OperationId),
    /// Operation and attempt number, as in the next two events.
    AttemptArrives(OperationId, u64),
    AttemptTimesOut(OperationId, u64),
    AttemptEnds(OperationId, u64, AttemptResult),
    /// Host and its generation at the time of scheduling.
    WorkStarts(HostIndex, u64, Job),
    /// Host, its generation, and whether the operation is a duplicate.
    WorkEnds(HostIndex, u64, Job, bool),
    ProxyConnects(ProxyIndex),
    LoadReportDue(ProxyIndex),
    LoadReportArrives(ProxyIndex, Box<LoadReport>),
    DeltaArrives(ProxyIndex, StreamId, Arc<Publication>),
    /// Nonce of the delta, and whether the proxy rejected it.
    ResponseArrives(ProxyIndex, StreamId, u64, bool),
    ChannelReady(ProxyIndex),
    HealthCheckArrives(HostIndex),
    HealthCheckEnds(HostIndex, railhub::HealthCheckOutcome),
    ListUpdateArrives,
    /// Host and its new phase: "ready", "draining" or "gone".
    ListChanges(HostIndex, &'static str),
    ControllerWakes,
    ControllerStarts,
    /// Index into the faults of the scenario, as in the next two events.
    FaultStarts(usize),
    FaultEnds(usize),
    /// Fault and step number.
    FaultStep(usize, usize),
    DrainEnds(HostIndex),
}

/// An attempt at a host.
#[derive(Clone, Copy)]
pub struct Job {
    pub operation: OperationId,
    pub attempt: u64,
    pub arrived_at: f64,
}

struct Entry {
    at: f64,
    sequence: u64,
    event: ScheduledEvent,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Entry) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Entry) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    /// Reversed, since `BinaryHeap` is a max-heap and the earliest event must be popped first.
    fn cmp(&self, other: &Entry) -> Ordering {
        other.at.total_cmp(&self.at).then(other.sequence.cmp(&self.sequence))
    }
}

/// Pending events and the simulated time in seconds.
#[derive(Default)]
pub struct EventQueue {
    heap: BinaryHeap<Entry>,
    last_sequence: u64,
    pub now: f64,
}

impl EventQueue {
    /// Schedules an event; a time in the past means now.
    pub fn at(&mut self, at: f64, event: ScheduledEvent) {
        self.last_sequence += 1;
        self.heap.push(Entry { at: at.max(self.now), sequence: self.last_sequence, event });
    }

    pub fn after(&mut self, delay: f64, event: ScheduledEvent) {
        self.at(self.now + delay, event);
    }

    /// Removes the next event and advances the time to it.
    pub fn next(&mut self) -> Option<ScheduledEvent> {
        let entry = self.heap.pop()?;
        self.now = entry.at;
        Some(entry.event)
    }
}
