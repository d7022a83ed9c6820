//! What comes to the controller's own address, as typed values: a zone's collector with its load reports, and visitors
//! that check whether the controller lives. Its bytes are those of [`crate::wire::collector`].
use railhub::{HostLoadReport, SliceLoadReport, ZoneId};

/// A message of a collector or another visitor.
#[derive(Clone, Debug)]
pub enum CollectorMessage {
    /// Checks whether the controller lives.
    Ping,
    /// The connection is that of this zone's collector.
    Join(ZoneId),
    /// What the zone's proxies saw of one host.
    HostLoad(HostLoadReport),
    /// What the proxies saw of one slice and class.
    SliceLoad(SliceLoadReport),
}
