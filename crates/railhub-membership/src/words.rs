//! What stewards say to each other.
use crate::entry::{Entry, Incarnation, Load, Standing};
use crate::StewardId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Entries that a message carries at the most, besides its sender's: with the longest metadata they fit in a datagram.
pub const NEWS_MOST: usize = 8;
/// Lines of a comparison in one message; a larger view is compared page by page.
pub const LINES_MOST: usize = 36;

/// One line of a comparison: what the sender holds of a steward, without its metadata.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    pub about: StewardId,
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    pub standing: Standing,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ask {
    Probe,
    /// Probe another for me.
    ProbeFor(StewardId),
    Answer,
    /// The one I was asked to probe has answered, or has not.
    AnswerOf(StewardId),
    NoAnswerOf(StewardId),
    /// This is what I hold of all stewards from one to another: say what you know better.
    Compare {
        from: StewardId,
        to: StewardId,
        lines: Vec<Line>,
    },
    /// Tell me of these.
    Want(Vec<StewardId>),
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
    pub ask: Ask,
    pub news: Vec<Entry>,
    /// Whom the sender finds to stand out.
    pub names: Option<StewardId>,
    /// Digest of the sender's view.
    pub digest: u64,
}

/// Where a message goes: to a steward at the address in its metadata, or to an address of which no more is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum To {
    Steward(StewardId),
    Address(SocketAddr),
}

pub type Mail = Vec<(To, Message)>;

/// Something that operators and the sharing of slices want to know.
#[derive(Clone, Debug, PartialEq)]
pub struct Changed {
    pub about: StewardId,
    pub incarnation: Incarnation,
    pub standing: Standing,
    pub withdrawn: bool,
    /// What it rests on: who missed what, or who said so.
    pub why: String,
}
