//! Scaling of a trace to more or fewer operations; bursts and hot keys are preserved.
//!
//! To reduce the number, operations are sampled independently, which preserves the shape over time and the popularity
//! of keys. To increase it, copies of each operation are added close to it in time, so that a burst grows in place.
//! [`CopyKeys`] selects whether the copies represent more requests of the same users, or more users.
use crate::{Trace, TraceRow};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Maximum time between an operation and its copies; shorter than the shortest burst that affects a host.
const MAX_COPY_OFFSET_SECONDS: f64 = 0.05;
/// Minimum time between a copy and the end of the trace: one tick of the file format.
const END_MARGIN_SECONDS: f64 = 1e-6;
/// Odd multiplier that spreads the number of a copy over all bits of its key.
const KEY_MIX_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Choice of keys for the copies of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyKeys {
    /// Copies have the operation's key: hot keys get hotter.
    SameKeys,
    /// Copies have new keys, each as hot as the original, and the slices of these keys.
    OtherKeys,
}

/// Returns a trace that is `stretch` times as long and has, on average, `times` as many operations. The result depends
/// on the arguments only: the same `seed` gives the same trace.
pub fn scale(trace: &Trace, times: f64, stretch: f64, copies: CopyKeys, seed: u64) -> Trace {
    let mut header = trace.header.clone();
    header.length *= stretch;
    let random = ChaCha8Rng::seed_from_u64(seed);
    let mut scaler = Scaler { random, copies, slices: header.slices, length: header.length };
    let mut rows = Vec::new();
    for row in &trace.rows {
        let stretched = TraceRow { at: row.at * stretch, span: row.span * stretch, ..*row };
        scaler.scale_row(&stretched, times, &mut rows);
    }
    let mut scaled = Trace { header, rows };
    scaled.sort();
    scaled
}

struct Scaler {
    random: ChaCha8Rng,
    copies: CopyKeys,
    slices: u32,
    /// Length of the scaled trace in seconds.
    length: f64,
}

impl Scaler {
    fn scale_row(&mut self, row: &TraceRow, times: f64, rows: &mut Vec<TraceRow>) {
        if row.count > 1 || row.span > 0.0 {
            let count = round_randomly(f64::from(row.count) * times, &mut self.random);
            if count > 0 {
                rows.push(TraceRow { count, ..*row });
            }
            return;
        }
        for copy in 0..round_randomly(times, &mut self.random) {
            let scaled = if copy == 0 { *row } else { self.copy_of(row, copy) };
            rows.push(scaled);
        }
    }

    fn copy_of(&mut self, row: &TraceRow, copy: u32) -> TraceRow {
        let offset = (self.random.random::<f64>() - 0.5) * 2.0 * MAX_COPY_OFFSET_SECONDS;
        let at = (row.at + offset).clamp(0.0, (self.length - END_MARGIN_SECONDS).max(0.0));
        let (key, slice) = match (self.copies, row.key) {
            (CopyKeys::OtherKeys, Some(key)) => {
                let other_key = (key ^ u64::from(copy).wrapping_mul(KEY_MIX_MULTIPLIER)) >> 1;
                let slice = (other_key % u64::from(self.slices.max(1))) as u32;
                (Some(other_key), slice)
            }
            (_, key) => (key, row.slice),
        };
        TraceRow { at, key, slice, ..*row }
    }
}

/// Rounds up or down at random so that the expected value is `number`.
fn round_randomly(number: f64, random: &mut impl Rng) -> u32 {
    let floor = number.floor();
    floor as u32 + u32::from(random.random::<f64>() < number - floor)
}

#[cfg(test)]
mod tests;
