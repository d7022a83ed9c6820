//! Weighted rendezvous hashing: the order of preference of the hosts for a slice.
use crate::interface::{HostId, SliceId};

/// Least weight with which a host is ranked.
const MIN_WEIGHT: f64 = 0.01;

/// The rank of a host for a slice; the host with the highest rank comes first. The rank depends on the arguments only,
/// so it is the same on every controller and after every restart, and the loss of a host moves only the slices of that
/// host.
pub fn rank(slice: SliceId, host: HostId, weight: f64) -> f64 {
    let bits = mix(mix(host.hash() ^ (u64::from(slice.0) << 48)));
    let unit = ((bits >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -weight.max(MIN_WEIGHT) / unit.ln()
}

/// One step of splitmix64.
fn mix(bits: u64) -> u64 {
    let bits = bits.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
