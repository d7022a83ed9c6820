//! A node's view as observers read it.
use crate::member::{Load, Member};
use crate::Seconds;

/// One member of a view.
#[derive(Clone, Debug, PartialEq)]
pub struct ViewEntry {
    /// Its entry.
    pub member: Member,
    /// Its load as it last reported it.
    pub load: Load,
    /// Seconds since its status changed.
    pub status_age: Seconds,
    /// Seconds since its own last message; infinite where none has come.
    pub last_seen_ago: Seconds,
    /// Whether a majority finds it slow, so that it must hold no slices.
    pub ejected: bool,
}
