//! Owns scaling a trace to more or fewer operations with its bursts and hot keys preserved.
//!
//! Fewer: each operation is sampled independently, which keeps the shape in time and the popularity of keys. More:
//! each operation is followed by copies close in time, so that a burst grows in place. [`CopyKeys`] selects whether
//! the copies model more requests of the same users, or more users.
use crate::{Trace, TraceRow};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Maximum seconds between an operation and its copies; below the shortest burst that matters to a host.
const MAX_COPY_OFFSET_SECONDS: f64 = 0.05;
/// Seconds by which a copy stays before the end of the trace: one tick of the file.
const END_MARGIN_SECONDS: f64 = 1e-6;
/// Mixes the number of a copy into all bits of its key.
const KEY_MIX_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Which keys the copies of an operation have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyKeys {
    /// The operation's key: hot keys get hotter.
    SameKeys,
    /// Keys of their own, each as hot as the original, in the slices of these keys.
    OtherKeys,
}

/// Returns a trace with `times` as many operations in the mean, `stretch` times as long. The result is a function of
/// the arguments, `seed` included.
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
    /// Seconds of the scaled trace.
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

/// Rounds up or down at random so that the mean is the number.
fn round_randomly(number: f64, random: &mut impl Rng) -> u32 {
    let floor = number.floor();
    floor as u32 + u32::from(random.random::<f64>() < number - floor)
}

#[cfg(test)]
mod tests;
