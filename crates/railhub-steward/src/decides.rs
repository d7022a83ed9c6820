//! Who decides: the module, or another version of it that runs elsewhere.
use crate::draft::Draft;
use railhub::{Round, Steward};

/// Takes what came in since the last round and drafts what follows from it.
pub trait Decides {
    fn round(&mut self, round: &Round, draft: &mut Draft);
}

impl Decides for Steward {
    fn round(&mut self, round: &Round, draft: &mut Draft) {
        Steward::round(self, round, draft);
    }
}
