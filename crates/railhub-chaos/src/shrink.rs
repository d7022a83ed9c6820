//! Makes a failing run small: faults are left out one by one as long as it still fails.
use crate::faults::{Chaos, Fault};
use crate::judge::{judge, Breach};
use crate::world::{run, Sabotage};

/// The fewest of the faults that `breaks` says something of, and what it says then; `None`: it says nothing of all.
pub fn fewest<T>(faults: &[Fault], breaks: impl Fn(&[Fault]) -> Option<T>) -> Option<(Vec<Fault>, T)> {
    let mut left = faults.to_vec();
    let mut found = breaks(&left)?;
    let mut place = 0;
    while place < left.len() {
        let mut fewer = left.clone();
        fewer.remove(place);
        match breaks(&fewer) {
            Some(breaches) => (left, found) = (fewer, breaches),
            None => place += 1,
        }
    }
    Some((left, found))
}

/// The fewest of the faults with which the run still breaks the same rule, and what it breaks then.
pub fn shrink(
    chaos: &Chaos,
    seed: u64,
    faults: &[Fault],
    sabotage: Option<Sabotage>,
    rule: &str,
) -> (Vec<Fault>, Vec<Breach>) {
    let breaks = |faults: &[Fault]| {
        let breaches = judge(&run(chaos, seed, faults, sabotage));
        breaches.iter().any(|breach| breach.rule == rule).then_some(breaches)
    };
    fewest(faults, breaks).unwrap_or_else(|| (faults.to_vec(), Vec::new()))
}
