//! A proxy in simulated time: it fences by epoch and deduplicates commands.
use super::controller::Command;
use crate::lease::observation::Sabotage;
use railhub_membership::fence::Fence;
use railhub_membership::Epoch;
use std::collections::BTreeSet;

#[derive(Clone, Default)]
pub(super) struct SimulatedProxy {
    fence: Fence,
    received_commands: BTreeSet<u64>,
}

impl SimulatedProxy {
    /// Receives a command and returns whether the proxy obeys it.
    pub fn receive(&mut self, command: &Command, sabotage: Option<Sabotage>) -> bool {
        let is_admitted = self.fence.admits(u32::from(command.slice), Epoch(command.epoch));
        let is_first = self.received_commands.insert(command.number);
        (is_admitted || sabotage == Some(Sabotage::NoFence))
            && (is_first || sabotage == Some(Sabotage::NoMemory))
    }
}
