//! When service changed, and which event came just before. "Just before" is all that is said: that one thing
//! followed another does not make it its effect.
use crate::changes::{levels, Level};
use crate::lines::{Lines, STEP};
use railhub_record::{EndpointPhase, Event, EventKind, Limits};
use serde::Serialize;

/// Seconds before a change that are looked through.
const BEFORE: f64 = 10.0;
/// Seconds after it: a step's change may have begun anywhere within the step.
const WITHIN: f64 = STEP;

#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Told {
    /// Seconds of the day, to the step.
    pub at: f64,
    pub until: f64,
    pub service_before: f64,
    pub service: f64,
    /// What came just before, and when; none within 10 s.
    pub just_before: Option<(f64, String)>,
}

/// The changes of service in a record.
pub fn told(events: &[Event], limits: &Limits, lines: &Lines) -> Vec<Told> {
    changes(&lines.service, &happenings(events, limits))
}

/// The changes of a line of service, by steps, and what of `happened` came just before each.
pub fn changes(service: &[f64], happened: &[(f64, String)]) -> Vec<Told> {
    let change = |two: &[Level]| {
        let at = two[1].from as f64 * STEP;
        let before = |(when, _): &&(f64, String)| (at - BEFORE..=at + WITHIN).contains(when);
        Told {
            at,
            until: two[1].until as f64 * STEP,
            service_before: two[0].mean,
            service: two[1].mean,
            just_before: happened.iter().rev().find(before).cloned(),
        }
    };
    levels(service).windows(2).map(change).collect()
}

/// What operators would call an event, in order of time, with seconds of the day.
pub fn happenings(events: &[Event], limits: &Limits) -> Vec<(f64, String)> {
    let what = |event: &Event| -> Option<String> {
        Some(match event.kind.as_ref()? {
            EventKind::InjectedFault(trouble) => {
                format!("{} {}", trouble.name, if trouble.active { "begins" } else { "ends" })
            }
            EventKind::ControllerLifecycle(life) => {
                format!("the steward {}", if life.running { "starts" } else { "is killed" })
            }
            EventKind::EndpointsReceived(roster) => {
                let of = |listed| roster.entries.iter().filter(|entry| entry.phase() == listed).count();
                let (gone, draining) = (of(EndpointPhase::Gone), of(EndpointPhase::Draining));
                let fresh = roster.entries.iter().filter(|e| e.started_at.is_some()).count();
                match (roster.complete, gone, draining, fresh) {
                    (true, ..) | (_, 0, 0, 0) => return None,
                    (_, gone, 0, 0) => format!("the list drops {gone} hosts"),
                    (_, 0, draining, 0) => format!("the list drains {draining} hosts"),
                    (_, 0, 0, fresh) => format!("the list gains {fresh} cold hosts"),
                    _ => format!("the list drops {gone}, drains {draining} and gains {fresh} hosts"),
                }
            }
            _ => return None,
        })
    };
    events.iter().filter_map(|event| Some((event.at - limits.from, what(event)?))).collect()
}

pub fn words(changes: &[Told]) -> String {
    let mut out = String::new();
    for change in changes {
        let way = if change.service < change.service_before { "falls" } else { "rises" };
        let before = match &change.just_before {
            Some((when, what)) => format!("; just before, at {when:.1} s: {what}"),
            None => "; nothing within 10 s before".to_owned(),
        };
        out += &format!(
            "at {:>3.0} s service {way} from {:.2} to {:.2}, until {:.0} s{before}\n",
            change.at, change.service_before, change.service, change.until
        );
    }
    out
}
