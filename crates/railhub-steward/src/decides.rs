//! Who decides: the module, or another version of it that runs elsewhere.
use crate::draft::Draft;
use railhub::{Round, Seconds, SliceId, SliceState, Steward};

/// Takes what came in since the last round and drafts what follows from it.
pub trait Decides {
    fn round(&mut self, round: &Round, draft: &mut Draft);

    /// What the next one in charge of a slice is told, if this one tells anything.
    fn save(&self, _now: Seconds, _slice: SliceId) -> Option<SliceState> {
        None
    }

    /// What the former one told, so long ago; after the round that brought the slice.
    fn restore(&mut self, _now: Seconds, _slice: SliceId, _state: &SliceState, _age: Seconds) {}
}

impl Decides for Steward {
    fn round(&mut self, round: &Round, draft: &mut Draft) {
        Steward::round(self, round, draft);
    }

    fn save(&self, now: Seconds, slice: SliceId) -> Option<SliceState> {
        Steward::save(self, now, slice)
    }

    fn restore(&mut self, now: Seconds, slice: SliceId, state: &SliceState, age: Seconds) {
        Steward::restore(self, now, slice, state, age);
    }
}
