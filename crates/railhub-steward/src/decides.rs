//! Who decides: the module, or another version of it that runs elsewhere.
use crate::draft::DeltaBuilder;
use railhub::{Controller, EventBatch, Seconds, SliceHandoff, SliceId};

/// Takes what came in since the last round and drafts what follows from it.
pub trait DecisionEngine {
    fn round(&mut self, round: &EventBatch, draft: &mut DeltaBuilder);

    /// What the next one in charge of a slice is told, if this one tells anything.
    fn save(&self, _now: Seconds, _slice: SliceId) -> Option<SliceHandoff> {
        None
    }

    /// What the former one told, so long ago; after the round that brought the slice.
    fn restore(&mut self, _now: Seconds, _slice: SliceId, _state: &SliceHandoff, _age: Seconds) {}
}

impl DecisionEngine for Controller {
    fn round(&mut self, round: &EventBatch, draft: &mut DeltaBuilder) {
        Controller::handle_batch(self, round, draft);
    }

    fn save(&self, now: Seconds, slice: SliceId) -> Option<SliceHandoff> {
        self.slice_handoff(now, slice)
    }

    fn restore(&mut self, now: Seconds, slice: SliceId, state: &SliceHandoff, age: Seconds) {
        self.apply_handoff(now, slice, state, age);
    }
}
