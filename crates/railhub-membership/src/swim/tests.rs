use super::*;
use crate::member::NodeMetadata;

fn flooded(ask: Payload) -> Membership {
    let ids: Vec<NodeId> = (0..5).map(NodeId).collect();
    let mut membership = Membership::new(
        Member::alive(ids[0], 1, NodeMetadata::default()),
        MembershipConfig::default(),
        0.0,
        1,
    );
    membership.expect(&ids, 0.0);
    let dead = Member { status: Status::Dead, ..Member::alive(ids[1], 0, NodeMetadata::default()) };
    let from = Member::alive(ids[1], 0, NodeMetadata::default());
    for number in 0..10_000 {
        let (ask, news, load) = (ask.clone(), vec![dead.clone()], Load::default());
        let (from, turn) = (from.clone(), number);
        membership.hear(0.1, &Message { from, turn, load, number, ask, news, names: None, digest: 0 });
    }
    membership
}

#[test]
fn one_that_asks_without_end_makes_nothing_grow() {
    assert!(flooded(Payload::Probe).gossip() <= 5);
    assert!(flooded(Payload::IndirectProbe(NodeId(2))).pending.len() <= MAX_PENDING_PROBES);
}
fn word_of(entry: &Member, turn: u64, ask: Payload) -> Message {
    let (from, load) = (entry.clone(), Load { proxies: turn as u32, ..Load::default() });
    Message { from, turn, load, number: 0, ask, news: Vec::new(), names: None, digest: 0 }
}

/// A process that is first heard of when it has rewritten its entry counts its messages anew all the same.
#[test]
fn a_new_process_is_heard_at_once_and_an_old_message_tells_nothing_of_now() {
    let mut membership = flooded(Payload::Gossip);
    let next = Member {
        incarnation: Incarnation { process: 7, count: 3 },
        ..Member::alive(NodeId(1), 7, NodeMetadata::default())
    };
    membership.hear(0.2, &word_of(&next, 5, Payload::Gossip));
    membership.hear(0.3, &word_of(&next, 4, Payload::Gossip));
    let view = membership.view(0.4).into_iter().find(|view| view.entry.about == NodeId(1)).expect("known");
    assert_eq!(view.load.proxies, 5);
    assert!((view.heard_ago - 0.2).abs() < 1e-9);
}

#[test]
fn one_that_has_yielded_says_nothing_and_wants_few_turns() {
    let mut membership = flooded(Payload::Gossip);
    let newer = Member::alive(NodeId(0), 9, NodeMetadata::default());
    membership.hear(0.2, &word_of(&newer, 1, Payload::Probe));
    assert!(membership.is_superseded());
    assert!(membership.tick(0.5).0.is_empty() && membership.next_at() >= 0.69);
}
