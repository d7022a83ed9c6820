//! Controls all links of a run: faults are set by a schedule or by hand while traffic passes.
use crate::direction::Direction;
use crate::endpoint::EndpointName;
use crate::faults::{Counts, Faults};
use crate::record::{Record, RecordLine};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::collections::BTreeMap;
use std::io::Write;
use std::sync::Mutex;

/// Directions that are controlled; the packets of any further one pass without faults and are not counted.
const MAX_DIRECTIONS: usize = 4096;
/// Offset basis and prime of the FNV-1a hash, which derives a direction's seed from its endpoints' names.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Whether a packet is delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Delivery {
    /// Delivered, once or twice.
    #[serde(rename = "passes")]
    Delivered,
    /// Dropped by any fault.
    #[serde(rename = "lost")]
    Dropped,
}

/// A datagram that arrived at the relay.
#[derive(Clone, Debug)]
pub struct ObservedDatagram<'a> {
    /// When it arrived, in seconds on the machine's monotonic clock.
    pub at: f64,
    /// The endpoint that sent it.
    pub from: &'a str,
    /// The endpoint that it is addressed to.
    pub to: &'a str,
    /// Its contents.
    pub bytes: &'a [u8],
    /// Whether it is delivered.
    pub delivery: Delivery,
}

struct State {
    directions: BTreeMap<(EndpointName, EndpointName), Direction>,
    record: Record,
}

/// Controls all directions. Each draws from a random stream of its own, seeded with the run's seed and the names of its
/// endpoints, so that the traffic of one direction does not affect the faults of another.
pub struct LinkController {
    seed: u64,
    state: Mutex<State>,
}

impl LinkController {
    /// A controller without faults. Changes of faults, resets and counts are written to `record`, one JSON object a
    /// line.
    pub fn new(seed: u64, record: Option<Box<dyn Write + Send>>) -> LinkController {
        let state = State { directions: BTreeMap::new(), record: Record::new(record) };
        LinkController { seed, state: Mutex::new(state) }
    }

    fn with_state<T>(&self, operate: impl FnOnce(&mut State) -> T) -> T {
        operate(&mut self.state.lock().expect("no holder panics"))
    }

    fn new_direction(&self, from: &str, to: &str) -> Direction {
        let names = format!("{from}\n{to}");
        let seed = names.bytes().fold(self.seed ^ FNV_OFFSET_BASIS, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
        });
        Direction::new(ChaCha8Rng::seed_from_u64(seed))
    }

    /// Sets the faults of the direction from one endpoint to another.
    pub fn set(&self, from: &str, to: &str, faults: Faults) {
        let new = self.new_direction(from, to);
        self.with_state(|state| {
            if state.directions.len() < MAX_DIRECTIONS {
                let key = (from.to_owned(), to.to_owned());
                state.directions.entry(key).or_insert(new).faults = faults;
            }
            state.record.write(&RecordLine::FaultsSet { at: railhub_net::now(), from, to, faults });
        });
    }

    /// Sets the faults of both directions between two endpoints.
    pub fn set_both(&self, a: &str, b: &str, faults: Faults) {
        self.set(a, b, faults);
        self.set(b, a, faults);
    }

    /// The faults in effect for a direction.
    pub fn faults(&self, from: &str, to: &str) -> Faults {
        let key = (from.to_owned(), to.to_owned());
        self.with_state(|state| state.directions.get(&key).map(|direction| direction.faults))
            .unwrap_or_default()
    }

    /// The times at which a packet that arrives now leaves, as in [`Direction::schedule`].
    pub fn schedule(&self, from: &str, to: &str, bytes: usize) -> Vec<f64> {
        let now = railhub_net::now();
        let key = (from.to_owned(), to.to_owned());
        self.with_state(|state| {
            let is_full = state.directions.len() >= MAX_DIRECTIONS;
            if is_full && !state.directions.contains_key(&key) {
                return vec![now];
            }
            let direction = state.directions.entry(key).or_insert_with(|| self.new_direction(from, to));
            direction.schedule(now, bytes)
        })
    }

    /// The packet counts of each direction so far.
    pub fn counts(&self) -> BTreeMap<(EndpointName, EndpointName), Counts> {
        self.with_state(|state| {
            let directions = state.directions.iter();
            directions.map(|(endpoints, direction)| (endpoints.clone(), direction.counts)).collect()
        })
    }

    pub(crate) fn record_resets(&self, a: &str, b: &str, connections: usize) {
        self.with_state(|state| {
            let at = railhub_net::now();
            state.record.write(&RecordLine::ConnectionsReset { at, a, b, connections });
        });
    }

    /// Writes the counts of all directions to the record.
    pub fn finish(&self) {
        let counts = self.counts();
        self.with_state(|state| {
            for ((from, to), counts) in &counts {
                let at = railhub_net::now();
                state.record.write(&RecordLine::Counts { at, from, to, counts: *counts });
            }
            state.record.flush();
        });
    }
}
