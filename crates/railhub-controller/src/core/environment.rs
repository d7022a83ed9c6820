//! What the core orders of the process around it, besides its proxies.
use crate::change::Change;
use railhub::{HostId, ProxyId, SliceHandoff, SliceId, WeightedHost};

/// Something about a session that operators want to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionEvent {
    /// A second process claims the proxy's number: its stream is rejected.
    DuplicateRejected,
    /// A joined proxy's stream ended.
    Disconnected {
        /// Why, for the log.
        reason: String,
    },
    /// The proxy left a delta without a response for too long: its stream is ended.
    ResponseTimeout,
}

/// Carries out what the core orders.
pub trait Environment {
    /// Checks the health of a host; its result comes as an event.
    fn check_health(&mut self, host: HostId);
    /// Stores a slice's table. `epoch`: under which the slice is leased; 0 where this controller is alone.
    fn store_table(&mut self, slice: SliceId, epoch: u64, entries: Vec<WeightedHost>);
    /// Stores the table of a slice that is released, with the handoff for its next holder.
    fn hand_over(
        &mut self,
        _slice: SliceId,
        _epoch: u64,
        _entries: Vec<WeightedHost>,
        _handoff: SliceHandoff,
    ) {
    }
    /// All that is to be stored of these slices has been passed on: their leases may be released.
    fn allow_release(&mut self, _slices: &[SliceId]) {}
    /// A decision was made.
    fn decided(&mut self, cause: &str);
    /// A change was queued for the proxies.
    fn published(&mut self, change: &Change, version: u64);
    /// Something happened to a session.
    fn session_event(&mut self, proxy: ProxyId, event: SessionEvent);
}
