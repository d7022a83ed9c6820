//! The interface of decision engines: the controller of the package `railhub`, or an external engine.
use crate::delta_builder::DeltaBuilder;
use railhub::{Controller, EventBatch, Seconds, SliceHandoff, SliceId};

/// Turns the events since the last batch into commands.
pub trait DecisionEngine {
    /// Processes a batch of events and writes the resulting commands.
    fn handle_batch(&mut self, batch: &EventBatch, commands: &mut DeltaBuilder);

    /// The state of a slice for the next holder of its lease, if the engine supports handoffs.
    fn export_handoff(&self, _now: Seconds, _slice: SliceId) -> Option<SliceHandoff> {
        None
    }

    /// Applies the handoff that the previous holder of a slice wrote `age` seconds ago. Called after the batch in which
    /// the slice was acquired.
    fn import_handoff(&mut self, _now: Seconds, _slice: SliceId, _handoff: &SliceHandoff, _age: Seconds) {}
}

impl DecisionEngine for Controller {
    fn handle_batch(&mut self, batch: &EventBatch, commands: &mut DeltaBuilder) {
        Controller::handle_batch(self, batch, commands);
    }

    fn export_handoff(&self, now: Seconds, slice: SliceId) -> Option<SliceHandoff> {
        self.slice_handoff(now, slice)
    }

    fn import_handoff(&mut self, now: Seconds, slice: SliceId, handoff: &SliceHandoff, age: Seconds) {
        self.apply_handoff(now, slice, handoff, age);
    }
}
