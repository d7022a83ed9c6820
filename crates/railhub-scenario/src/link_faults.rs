//! Computes the effect of the active faults on the links between controllers, endpoint list, store and proxies.
use crate::fault::{CutDirection, FaultKind};
use railhub_fault_links::Faults;
use std::collections::BTreeMap;

/// Names of the link ends other than controllers. The name of a controller is its index.
pub(crate) const PROXIES: &str = "proxies";
pub(crate) const LIST: &str = "list";
pub(crate) const STORE: &str = "store";
/// Name of the group of all controllers in the peers of a fault.
const CONTROLLERS: &str = "stewards";

/// The numbered ends of a cluster's links: first the controllers, then proxies, list and store.
pub(crate) struct LinkEnds {
    controllers: usize,
}

impl LinkEnds {
    pub fn new(controllers: usize) -> LinkEnds {
        LinkEnds { controllers }
    }

    /// The name of a controller's end.
    pub fn controller_name(controller: usize) -> String {
        controller.to_string()
    }

    /// The names of all ends in the order of their numbers.
    pub fn names(&self) -> Vec<String> {
        let others = [PROXIES, LIST, STORE].map(str::to_owned);
        (0..self.controllers).map(LinkEnds::controller_name).chain(others).collect()
    }

    /// Whether there is a link between two ends: each link has a controller at one of them.
    pub fn are_linked(&self, from: usize, to: usize) -> bool {
        from != to && from.min(to) < self.controllers
    }

    fn group(&self, end: usize) -> &'static str {
        match end.checked_sub(self.controllers) {
            None => CONTROLLERS,
            Some(0) => PROXIES,
            Some(1) => LIST,
            Some(_) => STORE,
        }
    }

    fn are_controllers(&self, from: usize, to: usize) -> bool {
        from.max(to) < self.controllers
    }

    /// The combined effect of the active faults on one direction of a link.
    pub fn faults(&self, active: &BTreeMap<usize, FaultKind>, from: usize, to: usize) -> Faults {
        let mut faults = Faults::default();
        for kind in active.values() {
            self.add_fault(&mut faults, kind, from, to);
        }
        faults
    }

    fn add_fault(&self, faults: &mut Faults, kind: &FaultKind, from: usize, to: usize) {
        match kind {
            FaultKind::ControllerIsolated { controller, peers, direction } => {
                let is_peer = |end: usize| peers.iter().any(|name| name == self.group(end));
                let outbound = from == *controller && is_peer(to) && *direction != CutDirection::Inbound;
                let inbound = to == *controller && is_peer(from) && *direction != CutDirection::Outbound;
                faults.cut |= outbound || inbound;
            }
            FaultKind::ControllerOneWayCut { from: sender, to: receiver } => {
                faults.cut |= from == *sender && to == *receiver;
            }
            FaultKind::SlowUpdates { controller, delay }
                if from == *controller && self.group(to) == PROXIES =>
            {
                faults.delay = faults.delay.max(*delay);
            }
            FaultKind::ControllerPartition { side } if self.are_controllers(from, to) => {
                faults.cut |= side.contains(&from) != side.contains(&to);
            }
            FaultKind::ControllerLinksImpaired { loss_fraction, delay } if self.are_controllers(from, to) => {
                faults.lost = faults.lost.max(*loss_fraction);
                faults.delay = faults.delay.max(*delay);
            }
            _ => {}
        }
    }
}
