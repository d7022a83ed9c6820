//! Makes more or less of recorded traffic, so that its bursts and its hot keys stay.
//!
//! Less: each operation stays with a chance of its own; the shape in time and the shares of keys stay. More:
//! each operation is followed by copies of itself close by, so that a burst grows and stays where it is; whether
//! copies are for the same key or for one of their own is the question to ask: more of the same users, or more
//! users.
use crate::{Row, Traffic};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Seconds around an operation that its copies fall within: below the shortest burst that matters to a host.
const NEAR: f64 = 0.05;
/// Spreads a copy's number over the bits of a key.
const KEY_MIX: u64 = 0x9e37_79b9_7f4a_7c15;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopiesOf {
    /// Copies have the operation's key: hot keys get hotter.
    SameKeys,
    /// Copies have keys of their own, each as hot as the one it was made of, in slices of their own.
    OtherKeys,
}

/// `times` as many operations, in mean; `stretch`: times as long.
pub fn scale(traffic: &Traffic, times: f64, stretch: f64, copies: CopiesOf, seed: u64) -> Traffic {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let mut scaled = Traffic { facts: traffic.facts.clone(), rows: Vec::new() };
    scaled.facts.length *= stretch;
    let longest = scaled.facts.length;
    for row in &traffic.rows {
        let row = Row { at: row.at * stretch, span: row.span * stretch, ..*row };
        if row.count > 1 || row.span > 0.0 {
            let count = whole(f64::from(row.count) * times, &mut chance);
            scaled.rows.extend((count > 0).then_some(Row { count, ..row }));
            continue;
        }
        for copy in 0..whole(times, &mut chance) {
            scaled.rows.push(if copy == 0 {
                row
            } else {
                copied(&row, copy, copies, traffic, longest, &mut chance)
            });
        }
    }
    scaled.sort();
    scaled
}

/// The number, rounded up or down by chance so that its mean stays.
fn whole(number: f64, chance: &mut impl Rng) -> u32 {
    let below = number.floor();
    below as u32 + u32::from(chance.random::<f64>() < number - below)
}

fn copied(row: &Row, copy: u32, how: CopiesOf, of: &Traffic, longest: f64, chance: &mut impl Rng) -> Row {
    let moved = (chance.random::<f64>() - 0.5) * 2.0 * NEAR;
    let at = (row.at + moved).clamp(0.0, (longest - 1e-6).max(0.0));
    let (key, slice) = match (how, row.key) {
        (CopiesOf::OtherKeys, Some(key)) => {
            let other = (key ^ u64::from(copy).wrapping_mul(KEY_MIX)) >> 1;
            (Some(other), (other % u64::from(of.facts.slices.max(1))) as u32)
        }
        (_, key) => (key, row.slice),
    };
    Row { at, key, slice, ..*row }
}

#[cfg(test)]
mod tests;
