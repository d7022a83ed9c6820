//! Failure detection of nodes on a simulated network: deaths must be detected, and live nodes must not be declared dead.
use railhub_membership::member::{Member, NodeMetadata, Status};
use railhub_membership::messages::{Destination, MemberChange, Message, OutgoingMessage};
use railhub_membership::swim::{Membership, MembershipConfig};
use railhub_membership::NodeId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Shortest and longest delay in seconds of a message between nodes that are not slow.
const DELAY: (f64, f64) = (0.0005, 0.004);

/// Changes with the time of each and the node in whose view it happened.
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

struct SimulatedNetwork {
    now: f64,
    nodes: BTreeMap<NodeId, Membership>,
    /// Nodes that are down.
    down: BTreeMap<NodeId, bool>,
    paused_until: BTreeMap<NodeId, f64>,
    /// Messages from the first node to the second are lost.
    cut_links: Vec<(NodeId, NodeId)>,
    /// Extra seconds that a slow node takes to send or receive a message.
    extra_delay: BTreeMap<NodeId, f64>,
    /// Probability that a message is lost.
    loss: f64,
    /// Arrival times in microseconds and numbers of the messages in flight.
    in_flight: BinaryHeap<Reverse<(u64, u64)>>,
    /// Sender, receiver and contents of the messages in flight, by number.
    messages: BTreeMap<u64, (NodeId, NodeId, Message)>,
    last_message_number: u64,
    rng: ChaCha8Rng,
    changes: ObservedChanges,
}

impl SimulatedNetwork {
    fn new(count: u16, seed: u64) -> SimulatedNetwork {
        let ids: Vec<NodeId> = (0..count).map(NodeId).collect();
        let membership = |id: &NodeId| (*id, member(*id, &ids, 1, 0.0, seed));
        SimulatedNetwork {
            now: 0.0,
            nodes: ids.iter().map(membership).collect(),
            down: BTreeMap::new(),
            paused_until: BTreeMap::new(),
            cut_links: Vec::new(),
            extra_delay: BTreeMap::new(),
            loss: 0.0,
            in_flight: BinaryHeap::new(),
            messages: BTreeMap::new(),
            last_message_number: 0,
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
            let is_lost = self.cut_links.contains(&(from, to)) || self.rng.random::<f64>() < self.loss;
            let delay = DELAY.0 + (DELAY.1 - DELAY.0) * self.rng.random::<f64>();
            let extra_delay = |id: &NodeId| self.extra_delay.get(id).copied().unwrap_or(0.0);
            let arrives_at = self.now + delay + extra_delay(&from) + extra_delay(&to);
            if !is_lost {
                self.last_message_number += 1;
                self.in_flight.push(Reverse(((arrives_at * 1e6) as u64, self.last_message_number)));
                self.messages.insert(self.last_message_number, (from, to, message));
            }
        }
    }

    fn record(&mut self, viewer: NodeId, changes: Vec<MemberChange>) {
        self.changes.extend(changes.into_iter().map(|change| (self.now, viewer, change)));
    }

    fn run(&mut self, until: f64) {
        let ids: Vec<NodeId> = self.nodes.keys().copied().collect();
        while self.now < until {
            self.now += 0.01;
            while self.in_flight.peek().is_some_and(|Reverse((at, _))| *at as f64 / 1e6 <= self.now) {
                let Some(Reverse((_, number))) = self.in_flight.pop() else { break };
                let (from, to, message) = self.messages.remove(&number).expect("the message is in flight");
                if self.down.get(&to).copied().unwrap_or(false) {
                    continue;
                }
                if !self.is_running(to) {
                    // A paused process receives its messages when it resumes.
                    self.last_message_number += 1;
                    let resumes_at = self.paused_until[&to];
                    let arrives_at_us = (resumes_at * 1e6) as u64 + 1;
                    self.in_flight.push(Reverse((arrives_at_us, self.last_message_number)));
                    self.messages.insert(self.last_message_number, (from, to, message));
                    continue;
                }
                let now = self.now;
                let output = self.nodes.get_mut(&to).expect("the node exists").on_message(now, &message);
                self.send(to, output.messages);
                self.record(to, output.changes);
            }
            for id in &ids {
                if self.is_running(*id) && self.nodes[id].next_tick_at() <= self.now {
                    let now = self.now;
                    let output = self.nodes.get_mut(id).expect("the node exists").tick(now);
                    self.send(*id, output.messages);
                    self.record(*id, output.changes);
                }
            }
        }
    }

    fn status(&self, viewer: u16, id: u16) -> Status {
        self.nodes[&NodeId(viewer)].status(NodeId(id))
    }

    /// Number of times that any node declared another one dead or learnt of a death.
    fn deaths_seen(&self) -> usize {
        self.changes.iter().filter(|(_, _, change)| change.status == Status::Dead).count()
    }
}

#[test]
fn all_detect_a_death_and_a_restart() {
    for seed in 0..20 {
        let mut network = SimulatedNetwork::new(5, seed);
        network.run(5.0);
        assert_eq!(network.deaths_seen(), 0);
        network.down.insert(NodeId(2), true);
        network.run(10.0);
        for viewer in [0, 1, 3, 4] {
            assert_eq!(network.status(viewer, 2), Status::Dead, "seed {seed}, view of node {viewer}");
        }
        let ids: Vec<NodeId> = (0..5).map(NodeId).collect();
        network.nodes.insert(NodeId(2), member(NodeId(2), &ids, 2, 10.0, seed + 1));
        network.down.clear();
        network.run(16.0);
        for viewer in [0, 1, 3, 4] {
            assert_eq!(network.status(viewer, 2), Status::Alive, "seed {seed}, view of node {viewer}");
        }
    }
}

#[test]
fn three_deaths_within_a_second_are_all_detected() {
    let mut network = SimulatedNetwork::new(7, 3);
    network.run(4.0);
    for (index, id) in [1, 3, 5].into_iter().enumerate() {
        network.down.insert(NodeId(id), true);
        network.run(4.3 + 0.3 * index as f64);
    }
    network.run(12.0);
    for viewer in [0, 2, 4, 6] {
        for dead in [1, 3, 5] {
            assert_eq!(
                network.status(viewer, dead),
                Status::Dead,
                "node {dead} in the view of node {viewer}"
            );
        }
        assert_eq!(network.nodes[&NodeId(viewer)].live_count(), 4);
    }
}

#[test]
fn message_loss_and_a_one_way_cut_cause_no_false_death() {
    for seed in 0..10 {
        let mut network = SimulatedNetwork::new(6, seed);
        network.loss = 0.1;
        network.cut_links = vec![(NodeId(1), NodeId(4))];
        network.run(40.0);
        assert_eq!(network.deaths_seen(), 0, "seed {seed}: {:?}", network.changes);
    }
}

#[test]
fn short_pause_is_tolerated_and_long_pause_is_refuted() {
    let mut network = SimulatedNetwork::new(5, 9);
    network.run(3.0);
    network.paused_until.insert(NodeId(1), 4.0);
    network.run(8.0);
    assert_eq!(network.deaths_seen(), 0, "{:?}", network.changes);
    network.paused_until.insert(NodeId(1), 20.0);
    network.run(19.0);
    assert_eq!(network.status(0, 1), Status::Dead);
    network.run(26.0);
    for viewer in [0, 2, 3, 4] {
        assert_eq!(network.status(viewer, 1), Status::Alive, "view of node {viewer}");
    }
    let deaths_seen_by_paused = network
        .changes
        .iter()
        .filter(|(_, viewer, change)| *viewer == NodeId(1) && change.status == Status::Dead);
    assert_eq!(deaths_seen_by_paused.count(), 0, "the paused node declared no node dead");
}

#[test]
fn both_sides_of_a_healed_partition_find_each_other() {
    let mut network = SimulatedNetwork::new(5, 4);
    network.run(3.0);
    for left in [0, 1] {
        for right in [2, 3, 4] {
            network.cut_links.extend([(NodeId(left), NodeId(right)), (NodeId(right), NodeId(left))]);
        }
    }
    network.run(12.0);
    assert_eq!((network.status(0, 3), network.status(3, 0)), (Status::Dead, Status::Dead));
    assert_eq!((network.status(0, 1), network.status(3, 4)), (Status::Alive, Status::Alive));
    network.cut_links.clear();
    network.run(30.0);
    for viewer in 0..5 {
        assert_eq!(network.nodes[&NodeId(viewer)].live_count(), 5, "view of node {viewer}");
    }
}

#[test]
fn slow_node_alone_is_ejected_and_later_readmitted() {
    for seed in 0..10 {
        let mut network = SimulatedNetwork::new(5, seed);
        network.run(5.0);
        network.extra_delay.insert(NodeId(3), 0.15);
        network.run(25.0);
        for viewer in [0, 1, 2, 4] {
            let membership = &network.nodes[&NodeId(viewer)];
            assert!(!membership.may_hold_slices(NodeId(3)), "seed {seed}, view of node {viewer}");
            let others = (0..5).filter(|id| *id != 3 && membership.may_hold_slices(NodeId(*id)));
            assert_eq!(others.count(), 4, "seed {seed}, view of node {viewer}");
        }
        assert_eq!(network.deaths_seen(), 0, "seed {seed}: the slow node is alive");
        network.extra_delay.clear();
        network.run(60.0);
        assert!(network.nodes[&NodeId(0)].may_hold_slices(NodeId(3)), "seed {seed}");
    }
}

#[test]
fn leaving_node_is_marked_left_at_once() {
    let mut network = SimulatedNetwork::new(4, 2);
    network.run(3.0);
    let output = network.nodes.get_mut(&NodeId(1)).expect("the node exists").leave();
    network.send(NodeId(1), output.messages);
    network.down.insert(NodeId(1), true);
    network.run(3.1);
    for viewer in [0, 2, 3] {
        assert_eq!(network.status(viewer, 1), Status::Left, "view of node {viewer}");
    }
}

/// Guards against a protocol whose load on each node grows with the number of nodes.
#[test]
fn message_rate_per_node_does_not_grow_with_cluster() {
    let rate = |count: u16| {
        let mut network = SimulatedNetwork::new(count, 1);
        network.run(20.0);
        let sent: u64 = network.nodes.values().map(Membership::messages_sent).sum();
        sent as f64 / f64::from(count) / 20.0
    };
    let (few, many) = (rate(5), rate(40));
    assert!(many < few * 1.2, "{few} messages per second and node of 5 nodes, {many} of 40 nodes");
}
