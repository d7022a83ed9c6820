//! The network links between zones, with the extra delay and loss for operations between hosts and proxies of different
//! zones.
use may::sync::Mutex;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A fault on the links of a zone.
#[derive(Clone, Copy, Debug)]
pub struct DegradedLink {
    /// Zone at one end.
    pub zone: u32,
    /// Zone at the other end; `None` if the links to all other zones are degraded.
    pub other: Option<u32>,
    /// Extra delay in each direction, in seconds.
    pub delay: f64,
    /// Fraction of the messages that are lost.
    pub loss: f64,
}

impl DegradedLink {
    /// Whether the fault affects the link between two zones.
    fn connects(&self, a: u32, b: u32) -> bool {
        let other_end_is = |zone| self.other.is_none_or(|end| end == zone);
        a != b && (self.zone == a && other_end_is(b) || self.zone == b && other_end_is(a))
    }
}

/// The condition of the link between two zones.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkCondition {
    /// Extra delay in each direction, in seconds.
    pub delay: f64,
    /// Fraction of the messages that are lost.
    pub loss: f64,
}

/// All links between zones. Clones share the same links.
#[derive(Clone, Default)]
pub struct ZoneLinks {
    /// Degraded links, by the number of the fault.
    degraded: Arc<Mutex<BTreeMap<usize, DegradedLink>>>,
}

impl ZoneLinks {
    /// Applies a fault; replaces an earlier fault with the same number.
    ///
    /// # Panics
    /// If a holder of the links panicked.
    pub fn degrade(&self, fault: usize, link: DegradedLink) {
        self.degraded.lock().expect("no holder panics").insert(fault, link);
    }

    /// Ends the fault with this number.
    ///
    /// # Panics
    /// If a holder of the links panicked.
    pub fn restore(&self, fault: usize) {
        self.degraded.lock().expect("no holder panics").remove(&fault);
    }

    /// The condition of the link between two zones: the sum of the delays and the largest loss of all faults on it.
    ///
    /// # Panics
    /// If a holder of the links panicked.
    pub fn condition(&self, a: u32, b: u32) -> LinkCondition {
        let degraded = self.degraded.lock().expect("no holder panics");
        let mut condition = LinkCondition::default();
        for link in degraded.values().filter(|link| link.connects(a, b)) {
            condition.delay += link.delay;
            condition.loss = f64::max(condition.loss, link.loss);
        }
        condition
    }
}
