//! The faults and the packet counts of one direction of a link.
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
    /// Seconds by which each packet is delayed.
    pub delay: f64,
    /// Largest random delay of a packet on top of `delay`, in seconds.
    pub jitter: f64,
    /// Rate limit in bytes per second; 0: no limit.
    #[serde(rename = "rate")]
    pub bytes_per_second: f64,
    /// Every packet is dropped; the chunks of a connection are held back.
    pub cut: bool,
}

/// The packet counts of one direction so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Delivered; a duplicated packet counts once.
    pub passed: u64,
    /// Lost at random.
    pub lost: u64,
    /// Dropped while the direction was cut.
    pub cut: u64,
    /// Dropped because the queue of a limited rate was full.
    #[serde(rename = "overrun")]
    pub queue_dropped: u64,
    /// Held back, so that later ones overtake them.
    pub reordered: u64,
    /// Delivered twice.
    #[serde(rename = "doubled")]
    pub duplicated: u64,
    /// Bytes of the delivered packets; a duplicated packet counts once.
    pub bytes: u64,
}
