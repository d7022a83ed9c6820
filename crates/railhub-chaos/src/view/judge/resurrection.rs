//! The rule that a view never shows an older process of a member than before, or one that it had forgotten.
use super::NO_RESURRECTION;
use crate::breach::Breach;
use crate::view::observation::{MemberProcess, Node, ViewObservation};
use std::collections::{BTreeMap, BTreeSet};

/// For each observed process and each controller: a process number of the controller that the observed process has shown.
type ShownProcesses = BTreeMap<(Node, u16), u64>;

#[derive(Default)]
struct ShownMembers {
    /// The newest process that was shown as alive.
    newest_alive: ShownProcesses,
    /// The last process that was shown as gone.
    gone: ShownProcesses,
    /// The last process that was shown as gone before the member was no longer shown.
    forgotten: ShownProcesses,
}

pub(super) fn life_after_death(observations: &[ViewObservation]) -> Option<Breach> {
    let mut shown = ShownMembers::default();
    for observation in observations {
        let ViewObservation::View { at, node, alive, gone, .. } = observation else { continue };
        for member in alive {
            if let Some(description) = shown.apply_alive(*node, *member) {
                return Some(Breach { rule: NO_RESURRECTION, at: *at, description });
            }
        }
        shown.forget(*node, alive, gone);
        for (controller, process) in gone {
            shown.gone.insert((*node, *controller), *process);
        }
    }
    None
}

impl ShownMembers {
    /// Records a member that is shown as alive; returns a description if this breaks the rule.
    fn apply_alive(&mut self, node: Node, (controller, process): MemberProcess) -> Option<String> {
        let newest = self.newest_alive.entry((node, controller)).or_default();
        if process < *newest {
            return Some(format!(
                "{node:?} holds process {process} of steward {controller} to live after {newest}"
            ));
        }
        *newest = process;
        let forgotten = self.forgotten.get(&(node, controller));
        let is_forgotten = forgotten.is_some_and(|forgotten| process <= *forgotten);
        is_forgotten.then(|| format!("{node:?} had forgotten process {process} of steward {controller}"))
    }

    /// Marks members as forgotten that were shown as gone and are no longer shown.
    fn forget(&mut self, node: Node, alive: &[MemberProcess], gone: &[MemberProcess]) {
        let shown: BTreeSet<u16> = alive.iter().chain(gone).map(|(controller, _)| *controller).collect();
        for ((viewer, controller), process) in &self.gone {
            if *viewer == node && !shown.contains(controller) {
                self.forgotten.insert((*viewer, *controller), *process);
            }
        }
    }
}
