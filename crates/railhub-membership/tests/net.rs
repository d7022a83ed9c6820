//! Nodes on a simulated network: who declares whom dead, how soon, and whom nobody must.
use railhub_membership::member::{Member, NodeMetadata, Status};
use railhub_membership::messages::{Destination, MemberChange, Message, OutgoingMessage};
use railhub_membership::swim::{Membership, MembershipConfig};
use railhub_membership::NodeId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Seconds that a message takes, shortest and longest, between nodes that are not slow.
const DELAY: (f64, f64) = (0.0005, 0.004);

type ObservedChanges = Vec<(f64, NodeId, MemberChange)>;

fn member(id: NodeId, ids: &[NodeId], process: u64, now: f64, seed: u64) -> Membership {
    let mut membership = Membership::new(
        Member::alive(id, process, NodeMetadata::default()),
        MembershipConfig::default(),
        now,
        seed,
    );
    membership.add_expected_nodes(ids, now);
    membership
}

struct Net {
    now: f64,
    nodes: BTreeMap<NodeId, Membership>,
    /// Down from when on.
    down: BTreeMap<NodeId, bool>,
    paused_until: BTreeMap<NodeId, f64>,
    /// Messages from the first to the second are lost.
    cut: Vec<(NodeId, NodeId)>,
    /// Seconds that a node takes for each message.
    slow: BTreeMap<NodeId, f64>,
    loss: f64,
    in_flight: BinaryHeap<Reverse<(u64, u64)>>,
    messages: BTreeMap<u64, (NodeId, NodeId, Message)>,
    last: u64,
    rng: ChaCha8Rng,
    changes: ObservedChanges,
}

impl Net {
    fn new(count: u16, seed: u64) -> Net {
        let ids: Vec<NodeId> = (0..count).map(NodeId).collect();
        let membership = |id: &NodeId| (*id, member(*id, &ids, 1, 0.0, seed));
        Net {
            now: 0.0,
            nodes: ids.iter().map(membership).collect(),
            down: BTreeMap::new(),
            paused_until: BTreeMap::new(),
            cut: Vec::new(),
            slow: BTreeMap::new(),
            loss: 0.0,
            in_flight: BinaryHeap::new(),
            messages: BTreeMap::new(),
            last: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            changes: Vec::new(),
        }
    }

    fn is_running(&self, id: NodeId) -> bool {
        !self.down.get(&id).copied().unwrap_or(false)
            && self.paused_until.get(&id).is_none_or(|at| *at <= self.now)
    }

    fn send(&mut self, from: NodeId, messages: Vec<OutgoingMessage>) {
        for OutgoingMessage { to, message } in messages {
            let Destination::Node(to) = to else { continue };
            let cut = self.cut.contains(&(from, to)) || self.rng.random::<f64>() < self.loss;
            let delay = DELAY.0 + (DELAY.1 - DELAY.0) * self.rng.random::<f64>();
            let slow = |id: &NodeId| self.slow.get(id).copied().unwrap_or(0.0);
            let arrives = self.now + delay + slow(&from) + slow(&to);
            if !cut {
                self.last += 1;
                self.in_flight.push(Reverse(((arrives * 1e6) as u64, self.last)));
                self.messages.insert(self.last, (from, to, message));
            }
        }
    }

    fn record(&mut self, who: NodeId, changed: Vec<MemberChange>) {
        self.changes.extend(changed.into_iter().map(|change| (self.now, who, change)));
    }

    fn run(&mut self, until: f64) {
        let ids: Vec<NodeId> = self.nodes.keys().copied().collect();
        while self.now < until {
            self.now += 0.01;
            while self.in_flight.peek().is_some_and(|Reverse((at, _))| *at as f64 / 1e6 <= self.now) {
                let Some(Reverse((_, number))) = self.in_flight.pop() else { break };
                let (from, to, message) = self.messages.remove(&number).expect("it is under way");
                if self.down.get(&to).copied().unwrap_or(false) {
                    continue;
                }
                if !self.is_running(to) {
                    // A paused process finds its messages when it resumes.
                    self.last += 1;
                    let resumes_at = self.paused_until[&to];
                    self.in_flight.push(Reverse(((resumes_at * 1e6) as u64 + 1, self.last)));
                    self.messages.insert(self.last, (from, to, message));
                    continue;
                }
                let now = self.now;
                let output = self.nodes.get_mut(&to).expect("known").on_message(now, &message);
                self.send(to, output.messages);
                self.record(to, output.changes);
            }
            for id in &ids {
                if self.is_running(*id) && self.nodes[id].next_tick_at() <= self.now {
                    let now = self.now;
                    let output = self.nodes.get_mut(id).expect("known").tick(now);
                    self.send(*id, output.messages);
                    self.record(*id, output.changes);
                }
            }
        }
    }

    fn status(&self, viewer: u16, of: u16) -> Status {
        self.nodes[&NodeId(viewer)].status(NodeId(of))
    }

    fn held_dead(&self) -> usize {
        self.changes.iter().filter(|(_, _, change)| change.status == Status::Dead).count()
    }
}

#[test]
fn all_detect_a_death_and_a_restart() {
    for seed in 0..20 {
        let mut net = Net::new(5, seed);
        net.run(5.0);
        assert_eq!(net.held_dead(), 0);
        net.down.insert(NodeId(2), true);
        net.run(10.0);
        for viewer in [0, 1, 3, 4] {
            assert_eq!(net.status(viewer, 2), Status::Dead, "seed {seed}, {viewer}");
        }
        let ids: Vec<NodeId> = (0..5).map(NodeId).collect();
        net.nodes.insert(NodeId(2), member(NodeId(2), &ids, 2, 10.0, seed + 1));
        net.down.clear();
        net.run(16.0);
        for viewer in [0, 1, 3, 4] {
            assert_eq!(net.status(viewer, 2), Status::Alive, "seed {seed}, {viewer}");
        }
    }
}

#[test]
fn three_deaths_within_a_second_are_all_detected() {
    let mut net = Net::new(7, 3);
    net.run(4.0);
    for (n, id) in [1, 3, 5].into_iter().enumerate() {
        net.down.insert(NodeId(id), true);
        net.run(4.3 + 0.3 * n as f64);
    }
    net.run(12.0);
    for viewer in [0, 2, 4, 6] {
        for of in [1, 3, 5] {
            assert_eq!(net.status(viewer, of), Status::Dead, "{viewer} of {of}");
        }
        assert_eq!(net.nodes[&NodeId(viewer)].live_count(), 4);
    }
}

#[test]
fn message_loss_and_a_one_way_cut_cause_no_false_death() {
    for seed in 0..10 {
        let mut net = Net::new(6, seed);
        net.loss = 0.1;
        net.cut = vec![(NodeId(1), NodeId(4))];
        net.run(40.0);
        assert_eq!(net.held_dead(), 0, "seed {seed}: {:?}", net.changes);
    }
}

#[test]
fn short_pause_is_tolerated_and_long_pause_is_refuted() {
    let mut net = Net::new(5, 9);
    net.run(3.0);
    net.paused_until.insert(NodeId(1), 4.0);
    net.run(8.0);
    assert_eq!(net.held_dead(), 0, "{:?}", net.changes);
    net.paused_until.insert(NodeId(1), 20.0);
    net.run(19.0);
    assert_eq!(net.status(0, 1), Status::Dead);
    net.run(26.0);
    for viewer in [0, 2, 3, 4] {
        assert_eq!(net.status(viewer, 1), Status::Alive, "{viewer}");
    }
    let blamed =
        net.changes.iter().filter(|(_, who, change)| *who == NodeId(1) && change.status == Status::Dead);
    assert_eq!(blamed.count(), 0, "the one that slept holds nobody for dead");
}

#[test]
fn both_sides_of_a_healed_partition_find_each_other() {
    let mut net = Net::new(5, 4);
    net.run(3.0);
    for a in [0, 1] {
        for b in [2, 3, 4] {
            net.cut.extend([(NodeId(a), NodeId(b)), (NodeId(b), NodeId(a))]);
        }
    }
    net.run(12.0);
    assert_eq!((net.status(0, 3), net.status(3, 0)), (Status::Dead, Status::Dead));
    assert_eq!((net.status(0, 1), net.status(3, 4)), (Status::Alive, Status::Alive));
    net.cut.clear();
    net.run(30.0);
    for viewer in 0..5 {
        assert_eq!(net.nodes[&NodeId(viewer)].live_count(), 5, "{viewer}");
    }
}

#[test]
fn slow_node_alone_is_ejected_and_later_readmitted() {
    for seed in 0..10 {
        let mut net = Net::new(5, seed);
        net.run(5.0);
        net.slow.insert(NodeId(3), 0.15);
        net.run(25.0);
        for viewer in [0, 1, 2, 4] {
            let membership = &net.nodes[&NodeId(viewer)];
            assert!(!membership.may_hold_slices(NodeId(3)), "seed {seed}, {viewer}");
            let others = (0..5).filter(|id| *id != 3 && membership.may_hold_slices(NodeId(*id)));
            assert_eq!(others.count(), 4, "seed {seed}, {viewer}");
        }
        assert_eq!(net.held_dead(), 0, "seed {seed}: it lives");
        net.slow.clear();
        net.run(60.0);
        assert!(net.nodes[&NodeId(0)].may_hold_slices(NodeId(3)), "seed {seed}");
    }
}

#[test]
fn leaving_node_is_marked_left_at_once() {
    let mut net = Net::new(4, 2);
    net.run(3.0);
    let output = net.nodes.get_mut(&NodeId(1)).expect("known").leave();
    net.send(NodeId(1), output.messages);
    net.down.insert(NodeId(1), true);
    net.run(3.1);
    for viewer in [0, 2, 3] {
        assert_eq!(net.status(viewer, 1), Status::Left, "{viewer}");
    }
}

/// What a node sends does not grow with their number.
#[test]
fn message_rate_per_node_does_not_grow_with_cluster() {
    let rate = |count: u16| {
        let mut net = Net::new(count, 1);
        net.run(20.0);
        let sent: u64 = net.nodes.values().map(Membership::messages_sent).sum();
        sent as f64 / f64::from(count) / 20.0
    };
    let (few, many) = (rate(5), rate(40));
    assert!(many < few * 1.2, "{few} and {many} messages a second");
}
