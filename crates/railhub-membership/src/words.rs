//! What stewards say to each other.
use crate::entry::{Entry, Incarnation, Load, Status};
use crate::NodeId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Entries that a message carries at the most, besides its sender's: with the longest metadata they fit in a datagram.
pub const NEWS_MOST: usize = 8;
/// Lines of a comparison in one message; a larger view is compared page by page.
pub const LINES_MOST: usize = 36;

/// One line of a comparison: what the sender holds of a steward, without its metadata.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestEntry {
    pub about: NodeId,
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    pub standing: Status,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    Probe,
    /// Probe another for me.
    ProbeFor(NodeId),
    Answer,
    /// The one I was asked to probe has answered, or has not.
    AnswerOf(NodeId),
    NoAnswerOf(NodeId),
    /// This is what I hold of all stewards from one to another: say what you know better.
    Compare {
        from: NodeId,
        to: NodeId,
        lines: Vec<DigestEntry>,
    },
    /// Tell me of these.
    Want(Vec<NodeId>),
    /// Nothing is asked: the news are the matter.
    Tell,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's own entry, and how many messages its process had sent: an old one that comes late is known by it.
    pub from: Entry,
    pub turn: u64,
    pub load: Load,
    pub number: u64,
    pub ask: Request,
    pub news: Vec<Entry>,
    /// Whom the sender finds to stand out.
    pub names: Option<NodeId>,
    /// Digest of the sender's view.
    pub digest: u64,
}

/// Where a message goes: to a steward at the address in its metadata, or to an address of which no more is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum To {
    Steward(NodeId),
    Address(SocketAddr),
}

pub type OutgoingMessage = Vec<(To, Message)>;

/// Something that operators and the sharing of slices want to know.
#[derive(Clone, Debug, PartialEq)]
pub struct Changed {
    pub about: NodeId,
    pub incarnation: Incarnation,
    pub standing: Status,
    pub withdrawn: bool,
    /// What it rests on: who missed what, or who said so.
    pub why: String,
}
