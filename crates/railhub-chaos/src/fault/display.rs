//! Faults as reports print them. The printed names are those of earlier reports.
use super::{FaultKind, LinkFaults};
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
            FaultKind::Twin { controller } => one(f, "Twin", *controller),
            FaultKind::Leave { controller } => one(f, "Leave", *controller),
            FaultKind::Join { controller } => one(f, "Join", *controller),
            FaultKind::Backward { controller } => one(f, "Backward", *controller),
            FaultKind::Drift { controller, by } => one_by(f, "Drift", *controller, *by),
            FaultKind::Jump { controller, by } => one_by(f, "Jump", *controller, *by),
            FaultKind::SlowOrders { controller, by } => one_by(f, "SlowOrders", *controller, *by),
            FaultKind::Starve { controller, share } => {
                write!(f, "Starve {{ steward: {controller}, share: {share:?} }}")
            }
            FaultKind::Flood { controller, count } => {
                write!(f, "Flood {{ steward: {controller}, count: {count} }}")
            }
            FaultKind::Links { faults } => write!(f, "Links {{ faults: {faults} }}"),
            FaultKind::Cut { .. }
            | FaultKind::Split { .. }
            | FaultKind::Apart { .. }
            | FaultKind::StoreAway
            | FaultKind::StoreLosesAnswers
            | FaultKind::StoreSlow { .. }
            | FaultKind::StoreForgets { .. }
            | FaultKind::Replay => write!(f, "{self:?}"),
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
