//! The messages that nodes exchange, as values; [`crate::packet`] is their form on the wire.
use crate::member::{Incarnation, Load, Member, Status};
use crate::NodeId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Gossiped entries in one message, besides its sender's: with the longest metadata they fit in a datagram.
pub const MAX_GOSSIP_PER_MESSAGE: usize = 8;
/// Entries of one page of a sync digest; a larger view is compared page by page.
pub const MAX_DIGEST_ENTRIES: usize = 36;

/// One member in a sync digest: its entry without the metadata.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestEntry {
    /// The member.
    #[serde(rename = "about")]
    pub id: NodeId,
    /// The incarnation that the sender knows.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The status that the sender holds.
    #[serde(rename = "standing")]
    pub status: Status,
}

/// What a message is sent for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// A direct probe (SWIM's `ping`).
    Probe,
    /// Requests that the receiver probe another node for the sender (SWIM's `ping-req`).
    #[serde(rename = "ProbeFor")]
    IndirectProbe(NodeId),
    /// Answers a [`Payload::Probe`].
    #[serde(rename = "Answer")]
    Ack,
    /// The target of an indirect probe acknowledged it.
    #[serde(rename = "AnswerOf")]
    IndirectAck(NodeId),
    /// The target of an indirect probe has not acknowledged it in time (Lifeguard's `nack`).
    #[serde(rename = "NoAnswerOf")]
    Nack(NodeId),
    /// One page of the sender's view, to be compared with the receiver's (anti-entropy push).
    #[serde(rename = "Compare")]
    SyncDigest {
        /// First id that the page covers.
        from: NodeId,
        /// Last id that the page covers.
        to: NodeId,
        /// What the sender knows of each node in that range, in the order of ids.
        #[serde(rename = "lines")]
        entries: Vec<DigestEntry>,
    },
    /// Requests the full entries of these nodes (anti-entropy pull).
    #[serde(rename = "Want")]
    SyncRequest(Vec<NodeId>),
    /// Expects no answer: the gossip that the message carries is its purpose.
    #[serde(rename = "Tell")]
    Gossip,
}

/// A message from one node to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's own entry.
    #[serde(rename = "from")]
    pub sender: Member,
    /// How many messages the sender's process has sent: a late or repeated one is recognized by it.
    #[serde(rename = "turn")]
    pub sequence: u64,
    /// The sender's load.
    pub load: Load,
    /// The number of the probe that this message makes or answers; 0 where nothing is matched by it.
    #[serde(rename = "number")]
    pub probe_number: u64,
    /// What the message is sent for.
    #[serde(rename = "ask")]
    pub payload: Payload,
    /// Member entries that are passed on, [`MAX_GOSSIP_PER_MESSAGE`] at most.
    #[serde(rename = "news")]
    pub gossip: Vec<Member>,
    /// The member whose probe score stands out in the sender's view.
    #[serde(rename = "names")]
    pub outlier: Option<NodeId>,
    /// Digest of the sender's view: a receiver whose own differs starts a sync.
    #[serde(rename = "digest")]
    pub view_digest: u64,
}

/// Where a message goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Destination {
    /// A member, at the address in its metadata.
    Node(NodeId),
    /// An address of which no more is known.
    Address(SocketAddr),
}

/// A message that the driver is to send.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage {
    /// Where it goes.
    pub to: Destination,
    /// What is sent.
    pub message: Message,
}

/// A change of the view, for the log and for the placement of slices.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberChange {
    /// The member.
    pub id: NodeId,
    /// Its incarnation as of now.
    pub incarnation: Incarnation,
    /// Its status as of now.
    pub status: Status,
    /// Whether a majority finds it slow, so that it must hold no slices.
    pub ejected: bool,
    /// Why it changed: which nodes missed an acknowledgement, or who reported it.
    pub cause: String,
}
