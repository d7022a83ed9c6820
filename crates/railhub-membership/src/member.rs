//! What one node knows about another: the member entry, and the order in which entries of one member supersede each
//! other.
//!
//! Only the member itself writes its metadata and raises its incarnation. Any other node can change only the status, to
//! a worse one under the incarnation that it knows. So any two entries of one member are ordered by (incarnation,
//! status), regardless of their sender and of when they arrive.
use crate::NodeId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Orders the entries of one member: by the process that runs under its id, then by the revision of the entry. Only the
/// member itself raises it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// Process number, higher than that of any earlier process of the same node.
    pub process: u64,
    /// Number of times that the process has changed its entry.
    pub count: u64,
}

/// A member's status under one incarnation, from best to worst: the later variant supersedes the earlier one.
///
/// Alive -> Suspect (a probe failed) -> Dead (the suspicion timeout ended) -> Forgotten (tombstoned); Alive -> Left
/// (announced by the member). A higher incarnation, which only the member itself can set, leads back to Alive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// As far as is known, it acknowledges probes.
    #[default]
    Alive,
    /// It failed a probe and has not refuted the suspicion yet.
    Suspect,
    /// It announced that it was leaving.
    Left,
    /// It did not refute a suspicion in time.
    Dead,
    /// It was dead or gone for so long that its entry was dropped; only a tombstone with its process number remains.
    Forgotten,
}

impl Status {
    /// Whether the member counts as live: alive or suspect.
    pub fn is_live(self) -> bool {
        self <= Status::Suspect
    }
}

/// What a node publishes about itself. It changes seldom, and each change raises the incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeMetadata {
    /// Address at which other nodes reach its membership socket.
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
    /// Whether it is handing its slices over and acquires no more.
    #[serde(rename = "drains")]
    pub draining: bool,
    /// Whether it gets no answer from the lease store and holds no lease, so that other nodes take its slices.
    #[serde(rename = "no_store")]
    pub store_unreachable: bool,
}

/// A node's own load, sent with each message and never gossiped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Number of slices that it holds.
    pub slices: u32,
    /// Number of proxies that are connected to it.
    pub proxies: u32,
    /// CPU use of the process in cores; 1 is one full core.
    #[serde(rename = "busy")]
    pub cpu_cores: f32,
}

/// The entry of one member, as the member wrote it or with a worse status that another node reported.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The node.
    #[serde(rename = "about")]
    pub id: NodeId,
    /// The incarnation to which the entry belongs.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The member's status under that incarnation.
    #[serde(rename = "standing")]
    pub status: Status,
    /// What the node published about itself.
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

    /// Digest of the process number and the metadata. Status and count are excluded because they often differ between
    /// views for a short time.
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

/// The SplitMix64 finalizer (Steele, Lea, Flood 2014). It has no seed, so all machines compute the same value.
pub(crate) fn mix(bits: u64) -> u64 {
    let bits = bits.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

#[cfg(test)]
mod tests;
