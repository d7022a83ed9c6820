//! Owns the list of changes of service, each with the event that precedes it. Precedence is all that is stated: it is
//! no proof of a cause.
use crate::change_points::{segments, Segment};
use crate::per_second::{TimeSeries, STEP_SECONDS};
use railhub_record::{EndpointPhase, EndpointsReceived, Event, EventKind, Limits};
use serde::Serialize;

/// Seconds before a change that are searched for a preceding event.
const LOOKBACK_SECONDS: f64 = 10.0;
/// Seconds after the start of a change that are searched too: it may begin anywhere within its step.
const LOOKAHEAD_SECONDS: f64 = STEP_SECONDS;

/// An event as operators name it. Written as the pair of time and description.
#[derive(Clone, Debug, Serialize, PartialEq)]
#[serde(into = "(f64, String)")]
pub struct OperatorEvent {
    /// Second of the scenario.
    pub at: f64,
    /// What happened.
    pub description: String,
}

impl From<OperatorEvent> for (f64, String) {
    fn from(event: OperatorEvent) -> (f64, String) {
        (event.at, event.description)
    }
}

/// A step from one level of service to another.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct ServiceChange {
    /// Second of the scenario at which the new level begins, to the step.
    pub at: f64,
    /// Second of the scenario at which the new level ends.
    pub until: f64,
    /// Mean service of the earlier level.
    pub service_before: f64,
    /// Mean service of the new level.
    pub service: f64,
    /// The latest event within 10 s before the change.
    #[serde(rename = "just_before")]
    pub preceding_event: Option<OperatorEvent>,
}

/// The changes of service in a recording.
pub fn service_changes(events: &[Event], limits: &Limits, series: &TimeSeries) -> Vec<ServiceChange> {
    detect_changes(&series.service, &operator_events(events, limits))
}

/// The changes in a series of service by step, each with the latest of `events`, ordered by time, that precedes it.
pub fn detect_changes(service: &[f64], events: &[OperatorEvent]) -> Vec<ServiceChange> {
    let segments = segments(service);
    segments.windows(2).map(|pair| service_change(&pair[0], &pair[1], events)).collect()
}

fn service_change(earlier: &Segment, present: &Segment, events: &[OperatorEvent]) -> ServiceChange {
    let at = present.start as f64 * STEP_SECONDS;
    let searched = at - LOOKBACK_SECONDS..=at + LOOKAHEAD_SECONDS;
    ServiceChange {
        at,
        until: present.end as f64 * STEP_SECONDS,
        service_before: earlier.mean,
        service: present.mean,
        preceding_event: events.iter().rev().find(|event| searched.contains(&event.at)).cloned(),
    }
}

/// The events of a recording that operators have a name for, in its order, in seconds of the scenario.
pub fn operator_events(events: &[Event], limits: &Limits) -> Vec<OperatorEvent> {
    let mut named = Vec::new();
    for event in events {
        if let Some(description) = describe(event) {
            named.push(OperatorEvent { at: event.at - limits.from, description });
        }
    }
    named
}

fn describe(event: &Event) -> Option<String> {
    match event.kind.as_ref()? {
        EventKind::InjectedFault(fault) => {
            Some(format!("{} {}", fault.name, if fault.active { "begins" } else { "ends" }))
        }
        EventKind::ControllerLifecycle(lifecycle) => {
            Some(format!("the steward {}", if lifecycle.running { "starts" } else { "is killed" }))
        }
        EventKind::EndpointsReceived(update) => describe_endpoints(update),
        _ => None,
    }
}

/// What an incremental update of the endpoint list changes; `None` for a complete list.
fn describe_endpoints(update: &EndpointsReceived) -> Option<String> {
    let in_phase = |phase| update.entries.iter().filter(|entry| entry.phase() == phase).count();
    let gone = in_phase(EndpointPhase::Gone);
    let draining = in_phase(EndpointPhase::Draining);
    let started = update.entries.iter().filter(|entry| entry.started_at.is_some()).count();
    match (update.complete, gone, draining, started) {
        (true, ..) | (_, 0, 0, 0) => None,
        (_, gone, 0, 0) => Some(format!("the list drops {gone} hosts")),
        (_, 0, draining, 0) => Some(format!("the list drains {draining} hosts")),
        (_, 0, 0, started) => Some(format!("the list gains {started} cold hosts")),
        _ => Some(format!("the list drops {gone}, drains {draining} and gains {started} hosts")),
    }
}

/// The changes as text, one a line.
pub fn format_changes(changes: &[ServiceChange]) -> String {
    changes.iter().map(format_change).collect()
}

fn format_change(change: &ServiceChange) -> String {
    let direction = if change.service < change.service_before { "falls" } else { "rises" };
    let preceding = match &change.preceding_event {
        Some(event) => format!("; just before, at {:.1} s: {}", event.at, event.description),
        None => "; nothing within 10 s before".to_owned(),
    };
    format!(
        "at {:>3.0} s service {direction} from {:.2} to {:.2}, until {:.0} s{preceding}\n",
        change.at, change.service_before, change.service, change.until
    )
}
