//! The interface through which the core acts on the process around it, apart from its proxies.
use crate::change::Change;
use railhub::{HostId, ProxyId, SliceHandoff, SliceId, WeightedHost};

/// A change of a session that is reported to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionEvent {
    /// Another process is registered under the proxy's number, so the new stream was rejected.
    DuplicateRejected,
    /// The stream of a joined proxy has ended.
    Disconnected {
        /// Why the stream ended, for the log.
        reason: String,
    },
    /// The proxy did not respond to a delta in time, so its stream was closed.
    ResponseTimeout,
}

/// Executes the core's commands and records its decisions.
pub trait Environment {
    /// Starts a health check of a host. The result is passed to [`ControllerCore::on_health_check`].
    ///
    /// [`ControllerCore::on_health_check`]: super::ControllerCore::on_health_check
    fn check_health(&mut self, host: HostId);
    /// Writes a slice's table to the store. `epoch` is the epoch of the slice's lease; 0 if slices are not shared.
    fn store_table(&mut self, slice: SliceId, epoch: u64, entries: Vec<WeightedHost>);
    /// Writes the table of a slice that is being released to the store, with the handoff for its next holder.
    fn hand_over(
        &mut self,
        _slice: SliceId,
        _epoch: u64,
        _entries: Vec<WeightedHost>,
        _handoff: SliceHandoff,
    ) {
    }
    /// Permits the release of these slices' leases. Called once all their tables and handoffs have been passed to the
    /// environment.
    fn allow_release(&mut self, _slices: &[SliceId]) {}
    /// Records a decision with its cause.
    fn decided(&mut self, cause: &str);
    /// Records that a change was queued for the proxies as this version.
    fn published(&mut self, change: &Change, version: u64);
    /// Records a change of a session.
    fn session_event(&mut self, proxy: ProxyId, event: SessionEvent);
}
