//! Faults as reports print them. The printed names are those of earlier reports.
use super::kind::{FaultKind, LinkFaults};
use std::fmt::{Display, Formatter, Result};

impl Display for FaultKind {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match self {
            FaultKind::Kill { controller } => one(f, "Kill", *controller),
            FaultKind::Pause { controller } => one(f, "Pause", *controller),
            FaultKind::CutStore { controller } => one(f, "CutStore", *controller),
            FaultKind::Drain { controller } => one(f, "Drain", *controller),
            FaultKind::Flap { controller } => one(f, "Flap", *controller),
            FaultKind::Move { controller } => one(f, "Move", *controller),
            FaultKind::DuplicateId { controller } => one(f, "Twin", *controller),
            FaultKind::Leave { controller } => one(f, "Leave", *controller),
            FaultKind::Join { controller } => one(f, "Join", *controller),
            FaultKind::RestartWithLowerNumber { controller } => one(f, "Backward", *controller),
            FaultKind::ClockDrift { controller, fraction } => one_by(f, "Drift", *controller, *fraction),
            FaultKind::ClockJump { controller, seconds } => one_by(f, "Jump", *controller, *seconds),
            FaultKind::SlowCommands { controller, max_delay } => {
                one_by(f, "SlowOrders", *controller, *max_delay)
            }
            FaultKind::Starve { controller, running_fraction } => {
                write!(f, "Starve {{ steward: {controller}, share: {running_fraction:?} }}")
            }
            FaultKind::Flood { controller, count } => {
                write!(f, "Flood {{ steward: {controller}, count: {count} }}")
            }
            FaultKind::Links { faults } => write!(f, "Links {{ faults: {faults} }}"),
            FaultKind::Partition { side } => write!(f, "Split {{ side: {side} }}"),
            FaultKind::SeparatePair { a, b } => write!(f, "Apart {{ a: {a}, b: {b} }}"),
            FaultKind::StoreUnavailable => f.write_str("StoreAway"),
            FaultKind::StoreLosesResponses => f.write_str("StoreLosesAnswers"),
            FaultKind::StoreSlow { delay } => write!(f, "StoreSlow {{ by: {delay:?} }}"),
            FaultKind::StoreRollback { age } => write!(f, "StoreForgets {{ by: {age:?} }}"),
            FaultKind::Cut { from, to } => write!(f, "Cut {{ from: {from}, to: {to} }}"),
            FaultKind::Replay => f.write_str("Replay"),
        }
    }
}

impl Display for LinkFaults {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let LinkFaults { loss, duplication, reordering, delay, jitter } = self;
        write!(
            f,
            "LinkFaults {{ lost: {loss:?}, doubled: {duplication:?}, reordered: {reordering:?}, \
             delay: {delay:?}, jitter: {jitter:?} }}"
        )
    }
}

fn one(f: &mut Formatter<'_>, name: &str, controller: u16) -> Result {
    write!(f, "{name} {{ steward: {controller} }}")
}

fn one_by(f: &mut Formatter<'_>, name: &str, controller: u16, by: f64) -> Result {
    write!(f, "{name} {{ steward: {controller}, by: {by:?} }}")
}
