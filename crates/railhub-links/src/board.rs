//! All ways of a run, in one place: set by a schedule or by hand, while everything runs.
use crate::way::{Counts, Faults, Way};
use crate::End;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::collections::BTreeMap;
use std::io::Write;
use std::sync::Mutex;

/// Ways at the most: past it a new one lets everything through and is not counted.
const WAYS_MOST: usize = 4096;

/// What became of a piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fate {
    Passes,
    Lost,
}

/// A datagram that came to a relay.
#[derive(Clone, Debug)]
pub struct Crossing<'a> {
    /// Seconds on the machine's monotonic clock.
    pub at: f64,
    pub from: &'a str,
    pub to: &'a str,
    pub bytes: &'a [u8],
    pub fate: Fate,
}

/// A line of the record.
#[derive(Serialize)]
#[serde(tag = "what", rename_all = "snake_case")]
enum Note<'a> {
    Way { at: f64, from: &'a str, to: &'a str, faults: Faults },
    Resets { at: f64, a: &'a str, b: &'a str, connections: usize },
    Counts { at: f64, from: &'a str, to: &'a str, counts: Counts },
}

struct Inner {
    ways: BTreeMap<(End, End), Way>,
    record: Option<Box<dyn Write + Send>>,
}

/// All ways. Each draws from a stream of its own, made of the seed and the names of its ends, so that what one way
/// carries changes nothing on another.
pub struct Board {
    seed: u64,
    inner: Mutex<Inner>,
}

impl Board {
    /// Changes and counts are written to `record`, a JSON object a line.
    pub fn new(seed: u64, record: Option<Box<dyn Write + Send>>) -> Board {
        Board { seed, inner: Mutex::new(Inner { ways: BTreeMap::new(), record }) }
    }

    fn with<T>(&self, act: impl FnOnce(&mut Inner) -> T) -> T {
        act(&mut self.inner.lock().expect("no holder panics"))
    }

    fn fresh(&self, from: &str, to: &str) -> Way {
        let names = format!("{from}\n{to}");
        let mixed = names.bytes().fold(self.seed ^ 0xcbf2_9ce4_8422_2325, |sum, byte| {
            (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
        Way::new(ChaCha8Rng::seed_from_u64(mixed))
    }

    /// From now on this is wrong with the way from one end to another.
    pub fn set(&self, from: &str, to: &str, faults: Faults) {
        let fresh = self.fresh(from, to);
        self.with(|inner| {
            if inner.ways.len() < WAYS_MOST {
                inner.ways.entry((from.to_owned(), to.to_owned())).or_insert(fresh).faults = faults;
            }
            inner.note(&Note::Way { at: railhub_net::now(), from, to, faults });
        });
    }

    /// Both ways between two ends.
    pub fn set_both(&self, a: &str, b: &str, faults: Faults) {
        self.set(a, b, faults);
        self.set(b, a, faults);
    }

    pub fn faults(&self, from: &str, to: &str) -> Faults {
        self.with(|inner| inner.ways.get(&(from.to_owned(), to.to_owned())).map(|way| way.faults))
            .unwrap_or_default()
    }

    /// When a piece that comes now leaves.
    pub fn pass(&self, from: &str, to: &str, bytes: usize) -> Vec<f64> {
        let now = railhub_net::now();
        let key = (from.to_owned(), to.to_owned());
        self.with(|inner| {
            if !inner.ways.contains_key(&key) {
                if inner.ways.len() >= WAYS_MOST {
                    return vec![now];
                }
                let fresh = self.fresh(from, to);
                inner.ways.insert(key.clone(), fresh);
            }
            inner.ways.get_mut(&key).map_or(vec![now], |way| way.pass(now, bytes))
        })
    }

    pub fn counts(&self) -> BTreeMap<(End, End), Counts> {
        self.with(|inner| inner.ways.iter().map(|(ends, way)| (ends.clone(), way.counts)).collect())
    }

    pub(crate) fn note_resets(&self, a: &str, b: &str, connections: usize) {
        self.with(|inner| inner.note(&Note::Resets { at: railhub_net::now(), a, b, connections }));
    }

    /// Writes down what each way did.
    pub fn finish(&self) {
        let counts = self.counts();
        self.with(|inner| {
            for ((from, to), counts) in &counts {
                inner.note(&Note::Counts { at: railhub_net::now(), from, to, counts: *counts });
            }
            inner.record.iter_mut().for_each(|record| _ = record.flush());
        });
    }
}

impl Inner {
    /// A record that cannot be written must not hold up what passes: the run's verdict needs only what was seen.
    fn note(&mut self, note: &Note) {
        if let Some(record) = &mut self.record {
            let _ = serde_json::to_writer(&mut *record, note).map(|()| record.write_all(b"\n"));
        }
    }
}
