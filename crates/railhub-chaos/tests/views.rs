//! Views in simulated time: many runs without a breach, and each defence left out is found.
use railhub_chaos::view::judge::{figures, judge, NO_LIFE_AFTER_DEATH, NO_SPLIT, RUMOURS_END, SETTLES};
use railhub_chaos::view::sim::{run, How};
use railhub_chaos::{Chaos, Fault, What};
use railhub_membership::table::Defence;
use std::path::Path;

fn chaos() -> Chaos {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../chaos/view.ini");
    Chaos::open(&path).expect("a good file")
}

#[test]
fn no_rule_breaks_on_many_seeds() {
    let chaos = chaos();
    for seed in 0..150 {
        let faults = chaos.faults(seed);
        let events = run(&chaos, seed, &faults, How::default());
        let breaches = judge(&events);
        assert!(breaches.is_empty(), "seed {seed}: {breaches:#?}\n{faults:#?}");
    }
}

#[test]
fn the_same_seed_is_the_same_run() {
    let chaos = chaos();
    let play = || run(&chaos, 7, &chaos.faults(7), How::default());
    assert!(play() == play());
}
