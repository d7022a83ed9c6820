//! What the relay sends and what is sent to it, as typed values: events of a subscription, calls and their responses.
//! Their bytes are those of [`crate::wire::relay`].
use railhub::{BarrierAck, ProxyId, SliceId, WeightedHost};

/// One subscription of this process. Ordered by the configuration file that named the relay, then by the order in which
/// they were requested: a follower of an older file may subscribe later and is older all the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SubscriptionId {
    /// Configuration files read before the one that named this relay.
    pub config_version: u64,
    /// Counts the subscriptions of the process, from 1.
    pub sequence: u64,
}

/// What a subscription delivers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RelayEvent {
    /// The relay confirms the subscription; its snapshot follows.
    Subscribed,
    /// The relay lives. The first one ends the snapshot.
    Heartbeat,
    /// A proxy's stream is up.
    ProxyJoined {
        /// The proxy.
        proxy: ProxyId,
        /// It holds no table yet.
        first: bool,
    },
    /// A proxy's stream is gone.
    ProxyLeft(ProxyId),
    /// A proxy has applied everything up to a barrier.
    BarrierAcked(BarrierAck),
    /// A slice is assigned to this controller, or taken from it.
    SliceAssigned {
        /// The slice.
        slice: SliceId,
        /// Whether this controller has it now.
        assigned: bool,
    },
    /// One line of an assigned slice's table, as the store holds it.
    StoredEntry {
        /// The slice whose table it is.
        slice: SliceId,
        /// The host and its weight, 0 or more.
        line: WeightedHost,
    },
}

/// A call to the relay, encoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Counts the calls of the process, from 1; the response bears it.
    pub id: u64,
    /// How many commands it carries.
    pub commands: usize,
    /// The line, with its line break.
    pub bytes: Vec<u8>,
}

/// How the relay ended a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResponse {
    /// So many commands, counted from the first, were accepted; the next one, if there is one, was refused.
    Accepted(usize),
    /// The relay lets no calls in yet: nothing was carried out.
    Rejected,
    /// The relay cannot read the call; repeated, it would end alike.
    Malformed,
}
