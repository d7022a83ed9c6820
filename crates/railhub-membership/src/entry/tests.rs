use super::*;

#[test]
fn a_higher_process_beats_any_count_and_any_standing() {
    let id = NodeId(3);
    let old = Entry { standing: Status::Dead, ..Entry::alive(id, 5, NodeMetadata::default()) };
    let old = Entry { incarnation: Incarnation { count: 900, ..old.incarnation }, ..old };
    let new = Entry::alive(id, 6, NodeMetadata::default());
    assert!(new.beats(&old) && !old.beats(&new));
}

#[test]
fn under_one_life_the_worse_holds_and_a_higher_count_refutes_it() {
    let alive = Entry::alive(NodeId(3), 5, NodeMetadata::default());
    let dead = Entry { standing: Status::Dead, ..alive.clone() };
    let again = Entry { incarnation: Incarnation { process: 5, count: 1 }, ..alive.clone() };
    assert!(dead.beats(&alive) && again.beats(&dead) && !alive.beats(&alive));
}
