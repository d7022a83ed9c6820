//! The ways between zones: how long a message takes, and how many are lost.
use may::sync::Mutex;
use std::sync::Arc;

#[derive(Clone, Copy, Debug)]
pub struct SlowLink {
    pub zone: u32,
    /// The other end; `None`: all other zones.
    pub other: Option<u32>,
    /// Seconds each way on top of the usual, and share of messages lost.
    pub delay: f64,
    pub lost: f64,
}

#[derive(Clone, Default)]
pub struct Links {
    slow: Arc<Mutex<Vec<SlowLink>>>,
}

impl Links {
    pub fn set(&self, slow: Vec<SlowLink>) {
        *self.slow.lock().expect("no holder panics") = slow;
    }

    /// Seconds more each way between two zones, and the share lost.
    pub fn between(&self, a: u32, b: u32) -> (f64, f64) {
        let slow = self.slow.lock().expect("no holder panics");
        let joins = |link: &&SlowLink| {
            let other = |zone| link.other.is_none_or(|end| end == zone);
            a != b && (link.zone == a && other(b) || link.zone == b && other(a))
        };
        let met = slow.iter().filter(joins);
        met.fold((0.0, 0.0), |(delay, lost), link| (delay + link.delay, f64::max(lost, link.lost)))
    }
}
