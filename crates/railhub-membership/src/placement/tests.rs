use super::*;
use proptest::prelude::*;

fn nodes(ids: &[u16]) -> BTreeMap<NodeId, f64> {
    ids.iter().map(|id| (NodeId(*id), 1.0)).collect()
}

#[test]
fn slices_are_distributed_by_weight() {
    let mut all = nodes(&[1, 2, 3]);
    all.insert(NodeId(3), 2.0);
    let slices_of =
        |id: u16| (0..4000).filter(|slice| rendezvous_owner(*slice, &all) == Some(NodeId(id))).count();
    let (first, second) = (slices_of(1), slices_of(2));
    assert!(first.abs_diff(1000) < 90 && second.abs_diff(1000) < 90, "{first} and {second} slices");
    assert!(slices_of(3).abs_diff(2000) < 120, "{} slices", slices_of(3));
}

proptest! {
    #[test]
    fn removing_a_node_moves_only_its_own_slices(
        ids in prop::collection::btree_set(0..50u16, 2..9),
        removed in 0..9usize,
    ) {
        let ids: Vec<u16> = ids.into_iter().collect();
        let removed = NodeId(ids[removed % ids.len()]);
        let all = nodes(&ids);
        let mut remaining = all.clone();
        remaining.remove(&removed);
        for slice in 0..300 {
            let (before, after) = (rendezvous_owner(slice, &all), rendezvous_owner(slice, &remaining));
            prop_assert!(before == Some(removed) || before == after);
        }
    }
}

#[test]
fn flapping_node_is_not_eligible_until_hold_down_ends() {
    let mut placement = Placement::new(nodes(&[1, 2]));
    placement.update_liveness(0.0, NodeId(1), true);
    placement.update_liveness(0.0, NodeId(2), true);
    assert_eq!(placement.eligible_nodes(0.0).len(), 2, "no node has departed yet");
    let mut changes = 0;
    let mut was_eligible = true;
    for step in 0..40 {
        // The node changes between live and down every 3 s.
        let now = 10.0 + f64::from(step) * 1.5;
        placement.update_liveness(now, NodeId(2), (step / 2) % 2 == 1);
        let is_eligible = placement.eligible_nodes(now).contains_key(&NodeId(2));
        changes += usize::from(is_eligible != std::mem::replace(&mut was_eligible, is_eligible));
    }
    assert_eq!(changes, 1, "the flapping node lost its slices once and got none back");
    placement.update_liveness(71.0, NodeId(2), true);
    assert!(!placement.eligible_nodes(90.0).contains_key(&NodeId(2)));
    assert!(placement.eligible_nodes(71.0 + MAX_HOLD_DOWN).contains_key(&NodeId(2)));
}

#[test]
fn held_down_nodes_are_eligible_if_all_are_held_down() {
    let mut placement = Placement::new(nodes(&[1, 2]));
    for id in [1, 2] {
        placement.update_liveness(0.0, NodeId(id), true);
        placement.update_liveness(1.0, NodeId(id), false);
        placement.update_liveness(1.5, NodeId(id), true);
    }
    assert_eq!(placement.eligible_nodes(2.0).len(), 2);
    placement.set_draining(NodeId(1), true);
    assert_eq!(placement.eligible_nodes(2.0).into_keys().collect::<Vec<_>>(), [NodeId(2)]);
}

#[test]
fn handovers_are_rate_limited() {
    let mut placement = Placement::new(nodes(&[1]));
    let permits_at = |placement: &mut Placement, now: f64| {
        (0..1000).filter(|_| placement.take_handover_permit(now)).count()
    };
    assert_eq!(permits_at(&mut placement, 10.0), (HANDOVERS_PER_SECOND * HANDOVER_BURST_WINDOW) as usize);
    assert_eq!(permits_at(&mut placement, 10.0), 0);
    assert_eq!(permits_at(&mut placement, 10.25), (HANDOVERS_PER_SECOND * 0.25) as usize);
}
