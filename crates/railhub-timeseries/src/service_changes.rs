//! The changes of the service level in a recording, each with the event that precedes it. The order in time does not
//! prove that the event caused the change.
use crate::change_points::{segments, Segment};
use crate::per_second::{TimeSeries, STEP_SECONDS};
use railhub_record::{EndpointPhase, EndpointsReceived, Event, EventKind, Limits};
use serde::Serialize;

/// Time before a change in which a preceding event is searched for.
const LOOKBACK_SECONDS: f64 = 10.0;
/// Time after the start of a change that is searched too, because the change may begin anywhere within its step.
const LOOKAHEAD_SECONDS: f64 = STEP_SECONDS;

/// An event with a description for operators. Serialized as a pair of time and description.
#[derive(Clone, Debug, Serialize, PartialEq)]
#[serde(into = "(f64, String)")]
pub struct OperatorEvent {
    /// Time in seconds since the start of the scenario.
    pub at: f64,
    /// Description of the event.
    pub description: String,
}

impl From<OperatorEvent> for (f64, String) {
    fn from(event: OperatorEvent) -> (f64, String) {
        (event.at, event.description)
    }
}

/// A change from one service level to another.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct ServiceChange {
    /// Start of the new level, in seconds since the start of the scenario, to the precision of a step.
    pub at: f64,
    /// End of the new level, in seconds since the start of the scenario.
    pub until: f64,
    /// Mean service at the earlier level.
    pub service_before: f64,
    /// Mean service at the new level.
    pub service: f64,
    /// The latest event from 10 s before the change to one step after its start; `None` if there is none.
    #[serde(rename = "just_before")]
    pub preceding_event: Option<OperatorEvent>,
}

/// The changes of the service level in a recording.
pub fn service_changes(events: &[Event], limits: &Limits, series: &TimeSeries) -> Vec<ServiceChange> {
    detect_changes(&series.service, &operator_events(events, limits))
}

/// The changes of level in a series of service per step, each with the event that precedes it; `events` are ordered by
/// time.
pub fn detect_changes(service: &[f64], events: &[OperatorEvent]) -> Vec<ServiceChange> {
    let segments = segments(service);
    segments.windows(2).map(|pair| service_change(&pair[0], &pair[1], events)).collect()
}

fn service_change(earlier: &Segment, current: &Segment, events: &[OperatorEvent]) -> ServiceChange {
    let at = current.start as f64 * STEP_SECONDS;
    let searched = at - LOOKBACK_SECONDS..=at + LOOKAHEAD_SECONDS;
    ServiceChange {
        at,
        until: current.end as f64 * STEP_SECONDS,
        service_before: earlier.mean,
        service: current.mean,
        preceding_event: events.iter().rev().find(|event| searched.contains(&event.at)).cloned(),
    }
}

/// The events of a recording that concern operators (faults, controller starts and stops, endpoint list updates), in
/// recorded order, with times since the start of the scenario.
pub fn operator_events(events: &[Event], limits: &Limits) -> Vec<OperatorEvent> {
    let mut described = Vec::new();
    for event in events {
        if let Some(description) = describe(event) {
            described.push(OperatorEvent { at: event.at - limits.from, description });
        }
    }
    described
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

/// Describes the changes of an incremental endpoint list update; `None` for a complete list or without such a change.
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

/// Formats the changes as text, one per line.
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
