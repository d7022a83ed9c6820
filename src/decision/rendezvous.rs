//! Weighted rendezvous hashing: the order in which hosts are chosen for a slice.
use crate::interface::{HostId, SliceId};

/// Least weight that a host counts with.
const MIN_WEIGHT: f64 = 0.01;

/// A host's rank for a slice; the highest comes first. It is made of the arguments alone, so every controller and
/// every restart agrees, and a host that goes moves only its own slices.
pub fn rank(slice: SliceId, host: HostId, weight: f64) -> f64 {
    let bits = mix(mix(host.hash() ^ (u64::from(slice.0) << 48)));
    let unit = ((bits >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -weight.max(MIN_WEIGHT) / unit.ln()
}

/// A step of splitmix64.
fn mix(bits: u64) -> u64 {
    let bits = bits.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
