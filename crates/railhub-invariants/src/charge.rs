//! Which steward a proxy goes by for a slice, where several share them: the one of the newest epoch that reached it.
use railhub_record::{Event, Received, StewardLife, What};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy)]
struct Word {
    epoch: u64,
    steward: u32,
    /// When it took the slice over from another that could not order any more; else from the start.
    since: f64,
    /// Another had it before.
    taken: bool,
}

/// What has reached the proxies so far, and which stewards could order.
#[derive(Default)]
pub struct InCharge {
    newest: BTreeMap<(u32, u32), Word>,
    /// Stewards whose processes live, and those of them that stand still or have since when gone on.
    up: BTreeSet<u32>,
    still: BTreeSet<u32>,
    went_on: BTreeMap<u32, f64>,
}

impl InCharge {
    /// A delta that reached a proxy; the slices of it that are an older steward's word.
    pub fn hear(&mut self, at: f64, received: &Received) -> BTreeSet<u32> {
        let mut old = BTreeSet::new();
        for each in &received.delta.epochs {
            let key = (received.proxy, each.slice);
            let word = Word { epoch: each.epoch, steward: received.steward, since: 0.0, taken: false };
            match self.newest.get(&key) {
                Some(known) if known.epoch > each.epoch => _ = old.insert(each.slice),
                Some(known) if known.epoch == each.epoch => {}
                Some(known) => {
                    let planned = self.can_order(known.steward);
                    let since = if planned { known.since } else { at };
                    self.newest.insert(key, Word { since, taken: true, ..word });
                }
                None => _ = self.newest.insert(key, word),
            }
        }
        old
    }

    pub fn live(&mut self, at: f64, life: &StewardLife) {
        match (life.up, life.still) {
            (true, true) => _ = self.still.insert(life.steward),
            (true, false) => {
                self.up.insert(life.steward);
                self.still.remove(&life.steward);
                self.went_on.insert(life.steward, at);
            }
            (false, _) => {
                self.up.remove(&life.steward);
                self.still.remove(&life.steward);
            }
        }
    }

    /// No steward's process is left.
    pub fn is_nobody(&self) -> bool {
        self.up.is_empty()
    }

    pub fn can_order(&self, steward: u32) -> bool {
        self.up.contains(&steward) && !self.still.contains(&steward)
    }

    pub fn steward(&self, proxy: u32, slice: u32) -> u32 {
        self.newest.get(&(proxy, slice)).map_or(0, |word| word.steward)
    }

    /// The slice has been another's before, at this proxy.
    pub fn took_over(&self, proxy: u32, slice: u32) -> bool {
        self.newest.get(&(proxy, slice)).is_some_and(|word| word.taken)
    }

    /// From when on a proxy's steward for a slice can be held to an order: since it took over from one that could not
    /// order, and since it last went on after standing still.
    pub fn answers_since(&self, proxy: u32, slice: u32) -> f64 {
        let word = self.newest.get(&(proxy, slice));
        let steward = word.map_or(0, |word| word.steward);
        word.map_or(0.0, |word| word.since).max(self.went_on.get(&steward).copied().unwrap_or(0.0))
    }
}

/// Whether several stewards share the slices of a run.
pub fn is_shared(events: &[Event]) -> bool {
    events.iter().any(|event| matches!(&event.what, Some(What::Granted(_) | What::Stored(_))))
}
