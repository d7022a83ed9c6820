//! Messages that arrive at the controller's own address, as typed values: load reports of a zone's collector, and pings
//! of other clients that check whether the controller is alive. [`crate::wire::collector`] decodes them.
use railhub::{HostLoadReport, SliceLoadReport, ZoneId};

/// A message of a collector or of another client.
#[derive(Clone, Debug)]
pub enum CollectorMessage {
    /// Checks whether the controller is alive.
    Ping,
    /// Identifies the connection as that of this zone's collector.
    Join(ZoneId),
    /// A load report of one host, from the zone's proxies.
    HostLoad(HostLoadReport),
    /// A load report of one slice and class.
    SliceLoad(SliceLoadReport),
}
