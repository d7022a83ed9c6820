//! What decides: the controller of the package `railhub`, or another version of it that runs elsewhere.
use crate::delta_builder::DeltaBuilder;
use railhub::{Controller, EventBatch, Seconds, SliceHandoff, SliceId};

/// Takes what happened since the last batch and gives the commands that follow.
pub trait DecisionEngine {
    /// Decides on a batch of events.
    fn handle_batch(&mut self, batch: &EventBatch, commands: &mut DeltaBuilder);

    /// What the next holder of a slice is given, if this engine gives anything.
    fn export_handoff(&self, _now: Seconds, _slice: SliceId) -> Option<SliceHandoff> {
        None
    }

    /// Applies the handoff that the previous holder of a slice wrote `age` seconds ago; called after the batch that
    /// brought the slice.
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
