//! Formats faults for reports. The printed names must stay as they are in earlier reports.
use super::kind::{FaultKind, LinkFaults};
use std::fmt::{Display, Formatter, Result};

impl Display for FaultKind {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match self {
            FaultKind::Kill { controller } => write_fault(f, "Kill", *controller),
            FaultKind::Pause { controller } => write_fault(f, "Pause", *controller),
            FaultKind::CutStore { controller } => write_fault(f, "CutStore", *controller),
            FaultKind::Drain { controller } => write_fault(f, "Drain", *controller),
            FaultKind::Flap { controller } => write_fault(f, "Flap", *controller),
            FaultKind::Move { controller } => write_fault(f, "Move", *controller),
            FaultKind::DuplicateId { controller } => write_fault(f, "Twin", *controller),
            FaultKind::Leave { controller } => write_fault(f, "Leave", *controller),
            FaultKind::Join { controller } => write_fault(f, "Join", *controller),
            FaultKind::RestartWithLowerNumber { controller } => write_fault(f, "Backward", *controller),
            FaultKind::ClockDrift { controller, fraction } => {
                write_fault_with_amount(f, "Drift", *controller, *fraction)
            }
            FaultKind::ClockJump { controller, seconds } => {
                write_fault_with_amount(f, "Jump", *controller, *seconds)
            }
            FaultKind::SlowCommands { controller, max_delay } => {
                write_fault_with_amount(f, "SlowOrders", *controller, *max_delay)
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

fn write_fault(f: &mut Formatter<'_>, name: &str, controller: u16) -> Result {
    write!(f, "{name} {{ steward: {controller} }}")
}

fn write_fault_with_amount(f: &mut Formatter<'_>, name: &str, controller: u16, amount: f64) -> Result {
    write!(f, "{name} {{ steward: {controller}, by: {amount:?} }}")
}
