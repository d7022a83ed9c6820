//! The messages that nodes exchange; [`crate::packet`] encodes them.
use crate::member::{Incarnation, Load, Member, Status};
use crate::NodeId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The most gossiped entries in one message, not counting its sender's. They fit in a datagram even with metadata of
/// the greatest length.
pub const MAX_GOSSIP_PER_MESSAGE: usize = 8;
/// The most entries in one page of a sync digest; a larger view is compared page by page.
pub const MAX_DIGEST_ENTRIES: usize = 36;

/// One member in a sync digest: its entry without the metadata.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestEntry {
    /// The member.
    #[serde(rename = "about")]
    pub id: NodeId,
    /// The incarnation of the sender's entry.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The status of the sender's entry.
    #[serde(rename = "standing")]
    pub status: Status,
}

/// The purpose of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// A direct probe (SWIM's `ping`).
    Probe,
    /// Requests that the receiver probe another node on behalf of the sender (SWIM's `ping-req`).
    #[serde(rename = "ProbeFor")]
    IndirectProbe(NodeId),
    /// Answers a [`Payload::Probe`].
    #[serde(rename = "Answer")]
    Ack,
    /// Reports that the target of an indirect probe acknowledged it.
    #[serde(rename = "AnswerOf")]
    IndirectAck(NodeId),
    /// Reports that the target of an indirect probe has not acknowledged it in time (Lifeguard's `nack`).
    #[serde(rename = "NoAnswerOf")]
    Nack(NodeId),
    /// One page of the sender's view, for the receiver to compare with its own (anti-entropy push).
    #[serde(rename = "Compare")]
    SyncDigest {
        /// First id that the page covers.
        from: NodeId,
        /// Last id that the page covers.
        to: NodeId,
        /// The sender's entries of the members in that range, in the order of ids.
        #[serde(rename = "lines")]
        entries: Vec<DigestEntry>,
    },
    /// Requests the full entries of these nodes (anti-entropy pull).
    #[serde(rename = "Want")]
    SyncRequest(Vec<NodeId>),
    /// Only delivers the gossip that the message contains; no response is expected.
    #[serde(rename = "Tell")]
    Gossip,
}

/// A message from one node to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's own entry.
    #[serde(rename = "from")]
    pub sender: Member,
    /// Sequence number: the messages that the sender's process has sent so far, used to recognize late and repeated
    /// ones.
    #[serde(rename = "turn")]
    pub sequence: u64,
    /// The sender's load.
    pub load: Load,
    /// Number of the probe that this message makes or answers; 0 if no response is matched by it.
    #[serde(rename = "number")]
    pub probe_number: u64,
    /// The purpose of the message.
    #[serde(rename = "ask")]
    pub payload: Payload,
    /// Gossiped member entries, at most [`MAX_GOSSIP_PER_MESSAGE`].
    #[serde(rename = "news")]
    pub gossip: Vec<Member>,
    /// The member whose probe score is an outlier in the sender's view, if there is one.
    #[serde(rename = "names")]
    pub outlier: Option<NodeId>,
    /// Digest of the sender's view. A receiver whose view has another digest starts a sync.
    #[serde(rename = "digest")]
    pub view_digest: u64,
}

/// The receiver of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Destination {
    /// A member, at the address in its metadata.
    Node(NodeId),
    /// An address whose node is not known.
    Address(SocketAddr),
}

/// A message that the driver is to send.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage {
    /// The receiver.
    pub to: Destination,
    /// The message to send.
    pub message: Message,
}

/// A change of a member in the view, for the log and for the placement of slices.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberChange {
    /// The member.
    pub id: NodeId,
    /// Its incarnation after the change.
    pub incarnation: Incarnation,
    /// Its status after the change.
    pub status: Status,
    /// Whether a majority considers it slow, so that it must not hold slices.
    pub ejected: bool,
    /// Why it changed: for example the probes that got no acknowledgement, or the node that reported the change.
    pub cause: String,
}
