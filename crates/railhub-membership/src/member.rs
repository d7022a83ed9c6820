//! What one node knows of another: the member entry, and the order in which entries of one node supersede each other.
//!
//! Only its owner writes a member's metadata, under an incarnation that only the owner raises. Any other node can
//! change nothing but the status, to a worse one under the incarnation it knows. So any two entries of one member are
//! ordered by (incarnation, status), whoever brings them and however late they arrive.
use crate::NodeId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Orders the entries of one member: the process that runs under its id, then how often that process has rewritten
/// its entry. Only the member itself raises it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// Number of the process: higher than that of any earlier process of the same node.
    pub process: u64,
    /// How often the process has rewritten its entry.
    pub count: u64,
}

/// A member's status under one incarnation, from good to bad: of two, the later one here holds.
///
/// Alive -> Suspect (a probe failed) -> Dead (the suspicion timeout ended) -> Forgotten (tombstoned); Alive -> Left (it
/// said so). A higher incarnation, which only the member itself can give, leads back to Alive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// It acknowledges probes, as far as is known.
    #[default]
    Alive,
    /// It failed a probe and has not refuted the suspicion yet.
    Suspect,
    /// It announced that it leaves.
    Left,
    /// It did not refute a suspicion in time.
    Dead,
    /// It was gone for so long that its entry was dropped: only a tombstone with its process number stays.
    Forgotten,
}

impl Status {
    /// Alive or suspect: still counted as a live member.
    pub fn is_live(self) -> bool {
        self <= Status::Suspect
    }
}

/// What a node publishes of itself and seldom changes; each change comes under a higher incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeMetadata {
    /// Where its membership socket is reached.
    pub address: Option<SocketAddr>,
    /// Version of the program.
    #[serde(rename = "program")]
    pub program_version: String,
    /// Version of the membership protocol.
    #[serde(rename = "protocol")]
    pub protocol_version: u32,
    /// Digest of its settings.
    #[serde(rename = "settings")]
    pub settings_digest: u64,
    /// It hands its slices over and acquires none.
    #[serde(rename = "drains")]
    pub draining: bool,
    /// The lease store does not answer it and it holds no lease: others take its slices.
    #[serde(rename = "no_store")]
    pub store_unreachable: bool,
}

/// A node's own load, sent with each message and never gossiped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Slices that it holds.
    pub slices: u32,
    /// Proxies that are connected to it.
    pub proxies: u32,
    /// Processor cores that the process uses; 1 is one full core.
    #[serde(rename = "busy")]
    pub cpu_cores: f32,
}

/// One node's entry, as its owner wrote it or as an accuser has changed its status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The node.
    #[serde(rename = "about")]
    pub id: NodeId,
    /// The incarnation that the entry belongs to.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Its status under that incarnation.
    #[serde(rename = "standing")]
    pub status: Status,
    /// What the node published of itself.
    #[serde(rename = "card")]
    pub metadata: NodeMetadata,
    /// The node that suspected it or declared it dead.
    #[serde(rename = "by")]
    pub reported_by: Option<NodeId>,
}

impl Member {
    /// The first entry of a process.
    pub fn alive(id: NodeId, process: u64, metadata: NodeMetadata) -> Member {
        Member {
            id,
            incarnation: Incarnation { process, count: 0 },
            status: Status::Alive,
            metadata,
            reported_by: None,
        }
    }

    /// Whether this entry is newer than another of the same node.
    pub fn supersedes(&self, known: &Member) -> bool {
        (self.incarnation, self.status) > (known.incarnation, known.status)
    }

    /// Digest of process and metadata. Status and count stay out of it, since they differ between views all the time.
    pub fn digest(&self) -> u64 {
        let metadata = &self.metadata;
        let mut digest = mix(u64::from(self.id.0) + 1);
        for part in [self.incarnation.process, metadata.settings_digest, u64::from(metadata.protocol_version)]
        {
            digest = mix(digest ^ part);
        }
        let address = metadata.address.map(|address| address.to_string()).unwrap_or_default();
        for byte in metadata.program_version.bytes().chain(address.bytes()) {
            digest = mix(digest ^ u64::from(byte));
        }
        let flags = u64::from(metadata.draining) + 2 * u64::from(metadata.store_unreachable);
        mix(digest ^ flags)
    }
}

/// The SplitMix64 finalizer (Steele, Lea, Flood 2014): unseeded, the same on each machine.
pub(crate) fn mix(bits: u64) -> u64 {
    let bits = bits.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

#[cfg(test)]
mod tests;
