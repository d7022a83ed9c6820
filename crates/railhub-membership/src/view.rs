//! A node's view of the members, as observers read it.
use crate::member::{Load, Member};
use crate::Seconds;

/// One member of a view.
#[derive(Clone, Debug, PartialEq)]
pub struct ViewEntry {
    /// The member's entry.
    pub member: Member,
    /// The load that it last reported.
    pub load: Load,
    /// Seconds since its status changed.
    pub status_age: Seconds,
    /// Seconds since the last message from the member itself; infinite if none has arrived.
    pub last_seen_ago: Seconds,
    /// Whether a majority considers it slow, so that it must not hold slices.
    pub ejected: bool,
}
