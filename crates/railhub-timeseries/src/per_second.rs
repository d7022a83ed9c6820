//! Aggregation of a recording's events by second of the scenario.
use crate::tables::Tables;
use crate::unacknowledged::UnacknowledgedDeltas;
use railhub_record::{DeltaReceived, Event, EventKind, Limits, OperationEnd, Outcome, ProxyStream};
use serde::Serialize;
use std::collections::BTreeSet;

/// Length of a step of a time series, in seconds.
pub const STEP_SECONDS: f64 = 1.0;

/// Time series with one value per step; the first step begins with the first operation.
#[derive(Clone, Debug, Default, Serialize)]
pub struct TimeSeries {
    /// Service: priority weight of the operations completed within the contract time over that of all operations, by
    /// the step in which operations began; 1 if none began.
    pub service: Vec<f64>,
    /// Number of operations that began.
    pub operations: Vec<u32>,
    /// Number of slices whose heaviest line moved to another host, counted when the first proxy received the version.
    pub moves: Vec<u32>,
    /// Number of table lines whose weight was set to 0.
    #[serde(rename = "withdrawals")]
    pub cleared_lines: Vec<u32>,
    /// Number of deltas that reached proxies.
    pub messages: Vec<u32>,
    /// Number of unacknowledged deltas at the end of the step.
    #[serde(rename = "owing")]
    pub unacknowledged: Vec<u32>,
    /// Number of proxies with an open stream at the end of the step.
    #[serde(rename = "joined")]
    pub connected_proxies: Vec<u32>,
    /// Number of hosts whose process runs at the end of the step.
    pub hosts: Vec<u32>,
}

impl TimeSeries {
    fn new(steps: usize) -> TimeSeries {
        let zeros = vec![0; steps];
        TimeSeries {
            service: vec![1.0; steps],
            operations: zeros.clone(),
            moves: zeros.clone(),
            cleared_lines: zeros.clone(),
            messages: zeros.clone(),
            unacknowledged: zeros.clone(),
            connected_proxies: zeros.clone(),
            hosts: zeros,
        }
    }

    /// Sum of the moves of all steps.
    pub fn total_moves(&self) -> u64 {
        self.moves.iter().map(|moves| u64::from(*moves)).sum()
    }
}

/// Aggregates a recording. Events before the first operation change the state but are not counted in a step.
pub fn time_series(events: &[Event], limits: &Limits) -> TimeSeries {
    let mut aggregation = Aggregation::new(limits);
    for event in events {
        aggregation.on_event(event);
    }
    aggregation.finish()
}

/// Aggregation of a recording event by event.
struct Aggregation<'a> {
    limits: &'a Limits,
    steps: usize,
    series: TimeSeries,
    /// Priority weight of the operations that began in each step.
    offered: Vec<f64>,
    /// The part of `offered` that was completed within the contract time.
    completed: Vec<f64>,
    tables: Tables,
    unacknowledged: UnacknowledgedDeltas,
    connected_proxies: BTreeSet<u32>,
    hosts: BTreeSet<String>,
    /// The first step for which the state at its end is not yet written.
    first_open_step: usize,
}

impl Aggregation<'_> {
    fn new(limits: &Limits) -> Aggregation<'_> {
        let steps = ((limits.until - limits.from) / STEP_SECONDS).ceil().max(1.0) as usize;
        Aggregation {
            limits,
            steps,
            series: TimeSeries::new(steps),
            offered: vec![0.0; steps],
            completed: vec![0.0; steps],
            tables: Tables::default(),
            unacknowledged: UnacknowledgedDeltas::default(),
            connected_proxies: BTreeSet::new(),
            hosts: BTreeSet::new(),
            first_open_step: 0,
        }
    }

    fn on_event(&mut self, event: &Event) {
        let step = self.step_at(event.at);
        if let Some(step) = step {
            self.close_steps(step);
        }
        match &event.kind {
            Some(EventKind::OperationEnd(end)) => self.on_operation_end(end),
            Some(EventKind::DeltaReceived(received)) => self.on_delta(received, step),
            Some(EventKind::DeltaAcknowledged(ack)) => {
                self.unacknowledged.on_acknowledged(ack.proxy, ack.nonce)
            }
            Some(EventKind::ProxyStream(stream)) => self.on_stream(stream),
            Some(EventKind::HostStarted(started)) => _ = self.hosts.insert(started.host.clone()),
            Some(EventKind::HostStopped(stopped)) => _ = self.hosts.remove(&stopped.host),
            _ => {}
        }
    }

    /// The step that contains a time of the recording's clock; `None` if it is outside the scenario.
    fn step_at(&self, at: f64) -> Option<usize> {
        let position = (at - self.limits.from) / STEP_SECONDS;
        (position >= 0.0 && (position as usize) < self.steps).then_some(position as usize)
    }

    /// Counts an operation in the step in which it began.
    fn on_operation_end(&mut self, end: &OperationEnd) {
        let began = ((end.began - self.limits.from) / STEP_SECONDS).max(0.0) as usize;
        if began >= self.steps {
            return;
        }
        let class = self.limits.classes.get(end.class as usize);
        let priority_weight = class.map_or(0.0, |class| class.priority_weight);
        self.series.operations[began] += 1;
        self.offered[began] += priority_weight;
        if end.outcome() == Outcome::Completed {
            self.completed[began] += priority_weight;
        }
    }

    fn on_delta(&mut self, received: &DeltaReceived, step: Option<usize>) {
        let changes = self.tables.apply(&received.delta).unwrap_or_default();
        self.unacknowledged.on_received(received.proxy, received.delta.version, received.delta.cost());
        if let Some(step) = step {
            self.series.moves[step] += changes.moves;
            self.series.cleared_lines[step] += changes.cleared_lines;
            self.series.messages[step] += 1;
        }
    }

    fn on_stream(&mut self, stream: &ProxyStream) {
        if stream.open {
            self.connected_proxies.insert(stream.proxy);
        } else {
            self.connected_proxies.remove(&stream.proxy);
            self.unacknowledged.on_stream_closed(stream.proxy);
        }
    }

    /// Writes the current state as the state at the end of each open step before step `end`.
    fn close_steps(&mut self, end: usize) {
        for step in self.first_open_step..end {
            self.series.unacknowledged[step] = self.unacknowledged.delta_count() as u32;
            self.series.connected_proxies[step] = self.connected_proxies.len() as u32;
            self.series.hosts[step] = self.hosts.len() as u32;
        }
        self.first_open_step = self.first_open_step.max(end);
    }

    fn finish(mut self) -> TimeSeries {
        self.close_steps(self.steps);
        for step in 0..self.steps {
            if self.offered[step] > 0.0 {
                self.series.service[step] = self.completed[step] / self.offered[step];
            }
        }
        self.series
    }
}
