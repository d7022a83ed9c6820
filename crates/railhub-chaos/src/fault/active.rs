//! The faults in force at one moment, and their effect on the links between controllers.
use super::kind::{Fault, FaultKind, LinkFaults};
use std::collections::BTreeSet;

/// The faults in force at one moment.
#[derive(Clone, Debug, Default)]
pub struct ActiveFaults {
    /// Indices into the run's list of faults.
    indices: BTreeSet<usize>,
    /// Separated pairs of controllers, the lower id first. They remain separated until the run ends.
    apart: BTreeSet<(u16, u16)>,
}

impl ActiveFaults {
    /// Marks a fault as in force.
    pub fn begin(&mut self, index: usize) {
        self.indices.insert(index);
    }

    /// Marks a fault as ended.
    pub fn end(&mut self, index: usize) {
        self.indices.remove(&index);
    }

    /// Separates two controllers for the rest of the run.
    pub fn separate(&mut self, a: u16, b: u16) {
        self.apart.insert((a.min(b), a.max(b)));
    }

    /// The kinds of the faults in force, in the order of the run's list.
    pub fn kinds<'a>(&'a self, faults: &'a [Fault]) -> impl Iterator<Item = &'a FaultKind> {
        self.indices.iter().map(|index| &faults[*index].kind)
    }

    /// Whether a fault of exactly this kind, with the same parameters, is in force.
    pub fn includes(&self, faults: &[Fault], kind: &FaultKind) -> bool {
        self.kinds(faults).any(|active| active == kind)
    }

    /// Whether the faults in force block messages from one controller to another.
    pub fn blocks(&self, faults: &[Fault], from: u16, to: u16) -> bool {
        if self.apart.contains(&(from.min(to), from.max(to))) {
            return true;
        }
        self.kinds(faults).any(|kind| match *kind {
            FaultKind::Cut { from: cut_from, to: cut_to } => (from, to) == (cut_from, cut_to),
            FaultKind::Partition { side } => is_on_side(side, from) != is_on_side(side, to),
            _ => false,
        })
    }

    /// The combined link faults in force, each the worst of its kind; the loss is at least `base_loss`.
    pub fn link_faults(&self, faults: &[Fault], base_loss: f64) -> LinkFaults {
        let mut combined = LinkFaults { loss: base_loss, ..LinkFaults::default() };
        for kind in self.kinds(faults) {
            let FaultKind::Links { faults } = kind else { continue };
            combined.loss = combined.loss.max(faults.loss);
            combined.duplication = combined.duplication.max(faults.duplication);
            combined.reordering = combined.reordering.max(faults.reordering);
            combined.delay = combined.delay.max(faults.delay);
            combined.jitter = combined.jitter.max(faults.jitter);
        }
        combined
    }
}

/// Whether a controller's bit is set in a partition's side; controllers beyond the last bit are on the other side.
fn is_on_side(side: u32, controller: u16) -> bool {
    side.checked_shr(controller.into()).is_some_and(|bits| bits & 1 == 1)
}
