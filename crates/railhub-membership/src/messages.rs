//! What stewards say to each other.
use crate::member::{Incarnation, Load, Member, Status};
use crate::NodeId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Entries that a message carries at the most, besides its sender's: with the longest metadata they fit in a datagram.
pub const MAX_GOSSIP_PER_MESSAGE: usize = 8;
/// Lines of a comparison in one message; a larger view is compared page by page.
pub const MAX_DIGEST_ENTRIES: usize = 36;

/// One line of a comparison: what the sender holds of a steward, without its metadata.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestEntry {
    pub about: NodeId,
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    #[serde(rename = "standing")]
    pub status: Status,
}

/// What a message is sent for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// A direct probe (SWIM's `ping`).
    Probe,
    /// Asks the receiver to probe another node for the sender (SWIM's `ping-req`).
    #[serde(rename = "ProbeFor")]
    IndirectProbe(NodeId),
    /// Answers a [`Payload::Probe`].
    #[serde(rename = "Answer")]
    Ack,
    /// The target of an indirect probe acknowledged.
    #[serde(rename = "AnswerOf")]
    IndirectAck(NodeId),
    /// The target of an indirect probe has not acknowledged in time (Lifeguard's `nack`).
    #[serde(rename = "NoAnswerOf")]
    Nack(NodeId),
    /// One page of the sender's view, to be compared with the receiver's.
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
    /// Asks for the full entries of these nodes.
    #[serde(rename = "Want")]
    SyncRequest(Vec<NodeId>),
    /// No answer is expected; the gossip in the message is its purpose.
    #[serde(rename = "Tell")]
    Gossip,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's own entry, and how many messages its process had sent: an old one that comes late is known by it.
    pub from: Member,
    pub turn: u64,
    pub load: Load,
    pub number: u64,
    pub ask: Payload,
    pub news: Vec<Member>,
    /// Whom the sender finds to stand out.
    pub names: Option<NodeId>,
    /// Digest of the sender's view.
    pub digest: u64,
}

/// Where a message goes: to a steward at the address in its metadata, or to an address of which no more is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Destination {
    Node(NodeId),
    Address(SocketAddr),
}

pub type OutgoingMessage = Vec<(Destination, Message)>;

/// Something that operators and the sharing of slices want to know.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberChange {
    pub about: NodeId,
    pub incarnation: Incarnation,
    pub status: Status,
    pub withdrawn: bool,
    /// What it rests on: who missed what, or who said so.
    pub why: String,
}
