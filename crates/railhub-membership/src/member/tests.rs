use super::*;

#[test]
fn higher_process_supersedes_any_count_and_status() {
    let id = NodeId(3);
    let old = Member { status: Status::Dead, ..Member::alive(id, 5, NodeMetadata::default()) };
    let old = Member { incarnation: Incarnation { count: 900, ..old.incarnation }, ..old };
    let new = Member::alive(id, 6, NodeMetadata::default());
    assert!(new.supersedes(&old) && !old.supersedes(&new));
}

#[test]
fn worse_status_supersedes_and_higher_count_refutes_it() {
    let alive = Member::alive(NodeId(3), 5, NodeMetadata::default());
    let dead = Member { status: Status::Dead, ..alive.clone() };
    let refutation = Member { incarnation: Incarnation { process: 5, count: 1 }, ..alive.clone() };
    assert!(dead.supersedes(&alive) && refutation.supersedes(&dead) && !alive.supersedes(&alive));
}
