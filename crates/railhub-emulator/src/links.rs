//! The ways between zones: how long a message takes, and how many are lost.
use may::sync::Mutex;
use std::collections::BTreeMap;
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
    slow: Arc<Mutex<BTreeMap<usize, SlowLink>>>,
}

impl Links {
    /// What a trouble of such a number does to the ways.
    pub fn slow_down(&self, trouble: usize, link: SlowLink) {
        self.slow.lock().expect("no holder panics").insert(trouble, link);
    }

    pub fn mend(&self, trouble: usize) {
        self.slow.lock().expect("no holder panics").remove(&trouble);
    }

    /// Seconds more each way between two zones, and the share lost.
    pub fn between(&self, a: u32, b: u32) -> (f64, f64) {
        let slow = self.slow.lock().expect("no holder panics");
        let joins = |link: &&SlowLink| {
            let other = |zone| link.other.is_none_or(|end| end == zone);
            a != b && (link.zone == a && other(b) || link.zone == b && other(a))
        };
        let met = slow.values().filter(joins);
        met.fold((0.0, 0.0), |(delay, lost), link| (delay + link.delay, f64::max(lost, link.lost)))
    }
}
