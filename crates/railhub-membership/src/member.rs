//! What is known of one steward. Its owner alone writes the metadata, under an incarnation that only it
//! raises; others can add nothing to an entry but a worse standing under the incarnation they know. So any two words
//! about a steward are in order, whoever brings them, and however late.
use crate::NodeId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Orders the words about a steward: the process that runs under its name, then how often that process has
/// rewritten its entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    pub process: u64,
    pub count: u64,
}

/// From good to bad: of two standings under one incarnation the later one here holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    #[default]
    Alive,
    Suspect,
    /// It said that it goes.
    Left,
    Dead,
    /// It was gone for so long that its entry was given up: its process is never believed again.
    Forgotten,
}

impl Status {
    pub fn is_live(self) -> bool {
        self <= Status::Suspect
    }
}

/// What a steward tells of itself that seldom changes; each change comes under a higher count.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeMetadata {
    /// Where it is reached.
    pub address: Option<SocketAddr>,
    /// Version of the program, and of the words between stewards.
    pub program: String,
    pub protocol: u32,
    /// Digest of its settings.
    pub settings: u64,
    /// It hands its slices over and takes none.
    #[serde(rename = "drains")]
    pub draining: bool,
    /// The store does not answer it, and its leases are over: others take what it cannot hold.
    #[serde(rename = "no_store")]
    pub store_unreachable: bool,
}

/// What a steward tells of itself with each message; nobody passes it on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Slices, and proxies that are joined.
    pub slices: u32,
    pub proxies: u32,
    /// Share of a core that the process takes.
    pub busy: f32,
}

/// One word about a steward.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub about: NodeId,
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    #[serde(rename = "standing")]
    pub status: Status,
    #[serde(rename = "card")]
    pub metadata: NodeMetadata,
    /// Who found it missing, where it is suspect or dead.
    pub by: Option<NodeId>,
}

impl Member {
    pub fn alive(about: NodeId, process: u64, metadata: NodeMetadata) -> Member {
        Member {
            about,
            incarnation: Incarnation { process, count: 0 },
            status: Status::Alive,
            metadata,
            by: None,
        }
    }

    /// Whether this word says more than another about the same steward.
    pub fn supersedes(&self, known: &Member) -> bool {
        (self.incarnation, self.status) > (known.incarnation, known.status)
    }

    /// The same for all that know the same; what changes all the time stays out of it.
    pub fn digest(&self) -> u64 {
        let mut sum = mix(u64::from(self.about.0) + 1);
        for part in [self.incarnation.process, self.metadata.settings, u64::from(self.metadata.protocol)] {
            sum = mix(sum ^ part);
        }
        let text = self.metadata.program.bytes().map(u64::from);
        let address = self.metadata.address.map(|address| address.to_string()).unwrap_or_default();
        for byte in text
            .chain(address.bytes().map(u64::from))
            .chain([u64::from(self.metadata.draining) + 2 * u64::from(self.metadata.store_unreachable)])
        {
            sum = mix(sum ^ byte);
        }
        sum
    }
}

/// Steele, Lea and Flood's mixer (SplitMix, 2014): no seed, the same on each machine.
pub(crate) fn mix(bits: u64) -> u64 {
    let bits = bits.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

#[cfg(test)]
mod tests;
