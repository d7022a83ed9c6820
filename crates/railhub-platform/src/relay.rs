//! Messages from and to the relay as typed values: events of a subscription, calls and their responses.
//! [`crate::wire::relay`] encodes and decodes them.
use railhub::{BarrierAck, ProxyId, SliceId, WeightedHost};

/// Identifies one subscription of this process. Ordered by configuration version, then by the order of the requests: a
/// subscription under an older configuration is older, even if it was requested later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SubscriptionId {
    /// Number of configurations read before the one that names this relay.
    pub config_version: u64,
    /// Sequence number of the subscription in this process, from 1.
    pub sequence: u64,
}

/// An event of a subscription.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RelayEvent {
    /// The relay confirms the subscription; its snapshot follows.
    Subscribed,
    /// The relay is alive. The first heartbeat ends the snapshot.
    Heartbeat,
    /// A proxy's stream to the relay is established.
    ProxyJoined {
        /// The proxy.
        proxy: ProxyId,
        /// Whether the proxy holds no table yet.
        first: bool,
    },
    /// A proxy's stream to the relay ended.
    ProxyLeft(ProxyId),
    /// A proxy has applied all changes up to a barrier.
    BarrierAcked(BarrierAck),
    /// A slice was assigned to this controller, or revoked from it.
    SliceAssigned {
        /// The slice.
        slice: SliceId,
        /// Whether the slice is now assigned to this controller.
        assigned: bool,
    },
    /// One entry of an assigned slice's table, as the store holds it.
    StoredEntry {
        /// The slice that the table belongs to.
        slice: SliceId,
        /// The host and its weight, 0 or more.
        line: WeightedHost,
    },
}

/// An encoded call to the relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Sequence number of the call in this process, from 1; the response carries it too.
    pub id: u64,
    /// Number of commands in the call.
    pub commands: usize,
    /// The encoded line, including its line break.
    pub bytes: Vec<u8>,
}

/// The relay's response to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResponse {
    /// The relay accepted this many commands, from the first on, and refused the next one, if any.
    Accepted(usize),
    /// The relay does not admit the call yet; no command was carried out.
    Rejected,
    /// The relay cannot parse the call; a repetition would fail in the same way.
    Malformed,
}
