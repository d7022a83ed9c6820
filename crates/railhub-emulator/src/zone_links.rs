//! The links between zones: extra delay and loss on operations that cross them.
use may::sync::Mutex;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A fault on the links of a zone.
#[derive(Clone, Copy, Debug)]
pub struct DegradedLink {
    /// One end.
    pub zone: u32,
    /// The other end; none: all other zones.
    pub other: Option<u32>,
    /// Extra seconds each way.
    pub delay: f64,
    /// Fraction of messages lost.
    pub loss: f64,
}

impl DegradedLink {
    fn connects(&self, a: u32, b: u32) -> bool {
        let other_end_is = |zone| self.other.is_none_or(|end| end == zone);
        a != b && (self.zone == a && other_end_is(b) || self.zone == b && other_end_is(a))
    }
}

/// The condition of the link between two zones.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkCondition {
    /// Extra seconds each way.
    pub delay: f64,
    /// Fraction of messages lost.
    pub loss: f64,
}

/// All links between zones. Clones are the same links.
#[derive(Clone, Default)]
pub struct ZoneLinks {
    /// By the number of the fault.
    degraded: Arc<Mutex<BTreeMap<usize, DegradedLink>>>,
}

impl ZoneLinks {
    /// Applies a fault, in place of an earlier one of the same number.
    ///
    /// # Panics
    /// If a holder of the links panicked.
    pub fn degrade(&self, fault: usize, link: DegradedLink) {
        self.degraded.lock().expect("no holder panics").insert(fault, link);
    }

    /// Ends a fault.
    ///
    /// # Panics
    /// If a holder of the links panicked.
    pub fn restore(&self, fault: usize) {
        self.degraded.lock().expect("no holder panics").remove(&fault);
    }

    /// The condition between two zones: delays add up, the largest loss counts.
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
