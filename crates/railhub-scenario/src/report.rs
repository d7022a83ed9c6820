//! The report of a run: its service, computed from the recording, and the verdicts of the invariants.
pub mod text;

use railhub_invariants::Verdict;
use railhub_record::{ClassLimits, Event, EventKind, Limits, OperationEnd, Outcome};
use serde::Serialize;

/// Length of a window, in seconds.
const WINDOW_SECONDS: f64 = 5.0;
/// Length of the span for which the lowest service is reported, in seconds.
const WORST_SPAN_SECONDS: f64 = 10.0;

/// Priority weight of the operations that completed within their contract time, divided by that of all operations.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Service {
    /// Service of the complete run.
    #[serde(rename = "whole")]
    pub overall: f64,
    /// Service of the worst span of 10 s.
    pub worst_10_s: f64,
    /// Start of that span, in seconds from the start of the scenario.
    pub worst_from: f64,
    /// Number of operations of the run.
    pub operations: u64,
    /// Outcomes of the operations, by class.
    pub classes: Vec<ClassService>,
    /// Service of each window of 5 s.
    pub windows: Vec<f64>,
}

/// How the operations of a class ended.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassService {
    /// Name of the class.
    pub name: String,
    /// Number of its operations.
    pub operations: u64,
    /// Completed within the contract time.
    pub completed: u64,
    /// Completed after the contract time.
    pub late: u64,
    /// Refused by admission control.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Abandoned by the client.
    pub gave_up: u64,
}

/// The report of a run.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Name of the scenario.
    #[serde(rename = "day")]
    pub scenario: String,
    /// Origin of the recording, as "loopback" or "simulated".
    #[serde(rename = "how")]
    pub source: &'static str,
    /// Seed of the run.
    pub seed: u64,
    /// Service of the run.
    pub service: Service,
    /// Service of the same scenario when the tables stay as they are at its start.
    pub fixed: Option<Service>,
    /// Verdicts of the invariants.
    pub rules: Vec<Verdict>,
    /// Whether all invariants held.
    pub rules_kept: bool,
}

/// Computes the service of a run.
pub fn service(events: &[Event], limits: &Limits) -> Service {
    let operations = Operations::new(events, limits);
    let length = limits.until - limits.from;
    let (worst_10_s, worst_from) = operations.worst_span(length);
    let windows = (0..(length / WINDOW_SECONDS).ceil() as u32).map(f64::from);
    Service {
        overall: operations.service_between(0.0, f64::INFINITY),
        worst_10_s,
        worst_from,
        operations: operations.ends.len() as u64,
        classes: operations.services_by_class(),
        windows: windows.map(|window| operations.window_service(window)).collect(),
    }
}

struct Operations<'a> {
    ends: Vec<&'a OperationEnd>,
    limits: &'a Limits,
}

impl Operations<'_> {
    fn new<'a>(events: &'a [Event], limits: &'a Limits) -> Operations<'a> {
        let ends = events.iter().filter_map(|event| match &event.kind {
            Some(EventKind::OperationEnd(end)) => Some(end),
            _ => None,
        });
        Operations { ends: ends.collect(), limits }
    }

    fn priority_weight(&self, end: &OperationEnd) -> f64 {
        self.limits.classes.get(end.class as usize).map_or(0.0, |class| class.priority_weight)
    }

    /// Service of the operations that began in a span, given in seconds from the start; 1 if there are none.
    fn service_between(&self, from: f64, until: f64) -> f64 {
        let (mut offered, mut completed) = (0.0, 0.0);
        for end in &self.ends {
            if !(from..until).contains(&(end.began - self.limits.from)) {
                continue;
            }
            offered += self.priority_weight(end);
            if end.outcome() == Outcome::Completed {
                completed += self.priority_weight(end);
            }
        }
        if offered > 0.0 {
            completed / offered
        } else {
            1.0
        }
    }

    fn window_service(&self, window: f64) -> f64 {
        self.service_between(window * WINDOW_SECONDS, (window + 1.0) * WINDOW_SECONDS)
    }

    /// The lowest service of the spans that begin at full seconds, and the start of that span.
    fn worst_span(&self, length: f64) -> (f64, f64) {
        let last_end = length.max(WORST_SPAN_SECONDS);
        let starts = (0..).map(f64::from).take_while(|from| from + WORST_SPAN_SECONDS <= last_end);
        let spans = starts.map(|from| (self.service_between(from, from + WORST_SPAN_SECONDS), from));
        spans.min_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((1.0, 0.0))
    }

    fn services_by_class(&self) -> Vec<ClassService> {
        let classes = self.limits.classes.iter().enumerate();
        classes.map(|(index, class)| self.class_service(index, class)).collect()
    }

    fn class_service(&self, index: usize, class: &ClassLimits) -> ClassService {
        let mut service = ClassService { name: class.name.clone(), ..ClassService::default() };
        for end in self.ends.iter().filter(|end| end.class as usize == index) {
            service.operations += 1;
            let count = match end.outcome() {
                Outcome::Completed => &mut service.completed,
                Outcome::Late => &mut service.late,
                Outcome::Refused => &mut service.refused,
                Outcome::Failed => &mut service.failed,
                Outcome::GaveUp => &mut service.gave_up,
            };
            *count += 1;
        }
        service
    }
}
