//! What can be wrong with one direction of a link, and what it has done.
use serde::{Deserialize, Serialize};

/// The faults of one direction; by default there are none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Fraction of packets that are lost.
    pub lost: f64,
    /// Fraction of packets that are held back, so that later ones overtake them.
    pub reordered: f64,
    /// Fraction of packets that are delivered twice.
    #[serde(rename = "doubled")]
    pub duplicated: f64,
    /// Seconds that each packet takes.
    pub delay: f64,
    /// Seconds that a packet takes more, at most.
    pub jitter: f64,
    /// Bytes in a second; 0: no limit.
    #[serde(rename = "rate")]
    pub bytes_per_second: f64,
    /// Nothing passes.
    pub cut: bool,
}

/// What one direction has done so far, in packets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Delivered; one that was delivered twice counts once.
    pub passed: u64,
    /// Lost at random.
    pub lost: u64,
    /// Dropped while the direction was cut.
    pub cut: u64,
    /// Dropped because the queue of a limited rate was full.
    #[serde(rename = "overrun")]
    pub queue_dropped: u64,
    /// Held back.
    pub reordered: u64,
    /// Delivered twice.
    #[serde(rename = "doubled")]
    pub duplicated: u64,
    /// Bytes of those that were delivered.
    pub bytes: u64,
}
