use super::probe::MAX_PENDING_PROBES;
use super::*;
use crate::member::{Incarnation, Load, Member, NodeMetadata, Status};
use crate::messages::{Message, Payload};
use crate::NodeId;

/// A member of a cluster of five, after 10,000 messages with this payload from one other member.
fn membership_after_flood(payload: Payload) -> Membership {
    let ids: Vec<NodeId> = (0..5).map(NodeId).collect();
    let mut membership = Membership::new(
        Member::alive(ids[0], 1, NodeMetadata::default()),
        MembershipConfig::default(),
        0.0,
        1,
    );
    membership.add_expected_nodes(&ids, 0.0);
    let dead = Member { status: Status::Dead, ..Member::alive(ids[1], 0, NodeMetadata::default()) };
    let sender = Member::alive(ids[1], 0, NodeMetadata::default());
    for number in 0..10_000 {
        let (payload, gossip, load) = (payload.clone(), vec![dead.clone()], Load::default());
        let (sender, sequence) = (sender.clone(), number);
        membership.on_message(
            0.1,
            &Message {
                sender,
                sequence,
                load,
                probe_number: number,
                payload,
                gossip,
                outlier: None,
                view_digest: 0,
            },
        );
    }
    membership
}

#[test]
fn repeated_requests_do_not_grow_queues() {
    assert!(membership_after_flood(Payload::Probe).queued_gossip() <= 5);
    assert!(membership_after_flood(Payload::IndirectProbe(NodeId(2))).pending.len() <= MAX_PENDING_PROBES);
}

fn message_from(sender: &Member, sequence: u64, payload: Payload) -> Message {
    let (sender, load) = (sender.clone(), Load { proxies: sequence as u32, ..Load::default() });
    Message {
        sender,
        sequence,
        load,
        probe_number: 0,
        payload,
        gossip: Vec::new(),
        outlier: None,
        view_digest: 0,
    }
}

/// A new process is first seen with an incarnation count above 0. Its sequence numbers must count anew even then, or
/// its messages would be taken for late ones of the process before it.
#[test]
fn new_process_is_seen_at_once_and_old_message_is_ignored() {
    let mut membership = membership_after_flood(Payload::Gossip);
    let new_process = Member {
        incarnation: Incarnation { process: 7, count: 3 },
        ..Member::alive(NodeId(1), 7, NodeMetadata::default())
    };
    membership.on_message(0.2, &message_from(&new_process, 5, Payload::Gossip));
    membership.on_message(0.3, &message_from(&new_process, 4, Payload::Gossip));
    let entry =
        membership.view(0.4).into_iter().find(|entry| entry.member.id == NodeId(1)).expect("node 1 is known");
    assert_eq!(entry.load.proxies, 5);
    assert!((entry.last_seen_ago - 0.2).abs() < 1e-9);
}

#[test]
fn superseded_process_sends_nothing_and_ticks_rarely() {
    let mut membership = membership_after_flood(Payload::Gossip);
    let newer_process = Member::alive(NodeId(0), 9, NodeMetadata::default());
    membership.on_message(0.2, &message_from(&newer_process, 1, Payload::Probe));
    assert!(membership.is_superseded());
    assert!(membership.tick(0.5).messages.is_empty() && membership.next_tick_at() >= 0.69);
}
