//! Stewards on a simulated net: who finds whom dead, how soon, and whom nobody must.
use railhub_membership::member::{Member, NodeMetadata, Status};
use railhub_membership::messages::{Destination, MemberChange, Message, OutgoingMessage};
use railhub_membership::swim::{Membership, MembershipConfig};
use railhub_membership::NodeId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Seconds a message takes at the least, and at the most in usual times.
const WAY: (f64, f64) = (0.0005, 0.004);

type Seen = Vec<(f64, NodeId, MemberChange)>;

fn member(id: NodeId, ids: &[NodeId], process: u64, now: f64, seed: u64) -> Membership {
    let mut membership = Membership::new(
        Member::alive(id, process, NodeMetadata::default()),
        MembershipConfig::default(),
        now,
        seed,
    );
    membership.expect(ids, now);
    membership
}

struct Net {
    now: f64,
    stewards: BTreeMap<NodeId, Membership>,
    /// Down from when on.
    down: BTreeMap<NodeId, bool>,
    paused_until: BTreeMap<NodeId, f64>,
    /// One way from the first to the second.
    cut: Vec<(NodeId, NodeId)>,
    /// Seconds that a steward takes for each message.
    slow: BTreeMap<NodeId, f64>,
    lost: f64,
    mail: BinaryHeap<Reverse<(u64, u64)>>,
    bodies: BTreeMap<u64, (NodeId, NodeId, Message)>,
    last: u64,
    chance: ChaCha8Rng,
    seen: Seen,
}

impl Net {
    fn new(count: u16, seed: u64) -> Net {
        let ids: Vec<NodeId> = (0..count).map(NodeId).collect();
        let membership = |id: &NodeId| (*id, member(*id, &ids, 1, 0.0, seed));
        Net {
            now: 0.0,
            stewards: ids.iter().map(membership).collect(),
            down: BTreeMap::new(),
            paused_until: BTreeMap::new(),
            cut: Vec::new(),
            slow: BTreeMap::new(),
            lost: 0.0,
            mail: BinaryHeap::new(),
            bodies: BTreeMap::new(),
            last: 0,
            chance: ChaCha8Rng::seed_from_u64(seed),
            seen: Vec::new(),
        }
    }

    fn acts(&self, id: NodeId) -> bool {
        !self.down.get(&id).copied().unwrap_or(false)
            && self.paused_until.get(&id).is_none_or(|at| *at <= self.now)
    }

    fn send(&mut self, from: NodeId, mail: OutgoingMessage) {
        for (to, message) in mail {
            let Destination::Node(to) = to else { continue };
            let cut = self.cut.contains(&(from, to)) || self.chance.random::<f64>() < self.lost;
            let way = WAY.0 + (WAY.1 - WAY.0) * self.chance.random::<f64>();
            let slow = |id: &NodeId| self.slow.get(id).copied().unwrap_or(0.0);
            let arrives = self.now + way + slow(&from) + slow(&to);
            if !cut {
                self.last += 1;
                self.mail.push(Reverse(((arrives * 1e6) as u64, self.last)));
                self.bodies.insert(self.last, (from, to, message));
            }
        }
    }

    fn note(&mut self, who: NodeId, changed: Vec<MemberChange>) {
        self.seen.extend(changed.into_iter().map(|change| (self.now, who, change)));
    }

    fn run(&mut self, until: f64) {
        let ids: Vec<NodeId> = self.stewards.keys().copied().collect();
        while self.now < until {
            self.now += 0.01;
            while self.mail.peek().is_some_and(|Reverse((at, _))| *at as f64 / 1e6 <= self.now) {
                let Some(Reverse((_, number))) = self.mail.pop() else { break };
                let (from, to, message) = self.bodies.remove(&number).expect("it is under way");
                if self.down.get(&to).copied().unwrap_or(false) {
                    continue;
                }
                if !self.acts(to) {
                    // A paused process finds its mail when it wakes.
                    self.last += 1;
                    let wakes = self.paused_until[&to];
                    self.mail.push(Reverse(((wakes * 1e6) as u64 + 1, self.last)));
                    self.bodies.insert(self.last, (from, to, message));
                    continue;
                }
                let now = self.now;
                let (mail, changed) = self.stewards.get_mut(&to).expect("known").hear(now, &message);
                self.send(to, mail);
                self.note(to, changed);
            }
            for id in &ids {
                if self.acts(*id) && self.stewards[id].next_at() <= self.now {
                    let now = self.now;
                    let (mail, changed) = self.stewards.get_mut(id).expect("known").tick(now);
                    self.send(*id, mail);
                    self.note(*id, changed);
                }
            }
        }
    }

    fn status(&self, viewer: u16, of: u16) -> Status {
        self.stewards[&NodeId(viewer)].status(NodeId(of))
    }

    fn held_dead(&self) -> usize {
        self.seen.iter().filter(|(_, _, change)| change.status == Status::Dead).count()
    }
}

#[test]
fn a_steward_that_dies_is_held_for_dead_by_all_and_one_that_comes_back_is_not() {
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
        net.stewards.insert(NodeId(2), member(NodeId(2), &ids, 2, 10.0, seed + 1));
        net.down.clear();
        net.run(16.0);
        for viewer in [0, 1, 3, 4] {
            assert_eq!(net.status(viewer, 2), Status::Alive, "seed {seed}, {viewer}");
        }
    }
}

#[test]
fn three_that_die_within_a_second_are_all_found() {
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
        assert_eq!(net.stewards[&NodeId(viewer)].alive(), 4);
    }
}

#[test]
fn lost_messages_and_a_link_that_is_cut_one_way_kill_nobody() {
    for seed in 0..10 {
        let mut net = Net::new(6, seed);
        net.lost = 0.1;
        net.cut = vec![(NodeId(1), NodeId(4))];
        net.run(40.0);
        assert_eq!(net.held_dead(), 0, "seed {seed}: {:?}", net.seen);
    }
}

#[test]
fn a_short_pause_kills_nobody_and_a_long_one_is_undone_by_the_one_that_wakes() {
    let mut net = Net::new(5, 9);
    net.run(3.0);
    net.paused_until.insert(NodeId(1), 4.0);
    net.run(8.0);
    assert_eq!(net.held_dead(), 0, "{:?}", net.seen);
    net.paused_until.insert(NodeId(1), 20.0);
    net.run(19.0);
    assert_eq!(net.status(0, 1), Status::Dead);
    net.run(26.0);
    for viewer in [0, 2, 3, 4] {
        assert_eq!(net.status(viewer, 1), Status::Alive, "{viewer}");
    }
    let blamed =
        net.seen.iter().filter(|(_, who, change)| *who == NodeId(1) && change.status == Status::Dead);
    assert_eq!(blamed.count(), 0, "the one that slept holds nobody for dead");
}

#[test]
fn both_halves_of_a_split_find_each_other_again() {
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
        assert_eq!(net.stewards[&NodeId(viewer)].alive(), 5, "{viewer}");
    }
}

#[test]
fn a_slow_steward_is_withdrawn_alone_and_comes_back() {
    for seed in 0..10 {
        let mut net = Net::new(5, seed);
        net.run(5.0);
        net.slow.insert(NodeId(3), 0.15);
        net.run(25.0);
        for viewer in [0, 1, 2, 4] {
            let membership = &net.stewards[&NodeId(viewer)];
            assert!(!membership.may_own_slices(NodeId(3)), "seed {seed}, {viewer}");
            let others = (0..5).filter(|id| *id != 3 && membership.may_own_slices(NodeId(*id)));
            assert_eq!(others.count(), 4, "seed {seed}, {viewer}");
        }
        assert_eq!(net.held_dead(), 0, "seed {seed}: it lives");
        net.slow.clear();
        net.run(60.0);
        assert!(net.stewards[&NodeId(0)].may_own_slices(NodeId(3)), "seed {seed}");
    }
}

#[test]
fn a_steward_that_leaves_is_known_to_have_left_at_once() {
    let mut net = Net::new(4, 2);
    net.run(3.0);
    let mail = net.stewards.get_mut(&NodeId(1)).expect("known").leave(3.0);
    net.send(NodeId(1), mail);
    net.down.insert(NodeId(1), true);
    net.run(3.1);
    for viewer in [0, 2, 3] {
        assert_eq!(net.status(viewer, 1), Status::Left, "{viewer}");
    }
}

/// What a steward sends does not grow with their number; how long a death takes to be known hardly does.
#[test]
fn cost_a_steward_is_flat() {
    let rate = |count: u16| {
        let mut net = Net::new(count, 1);
        net.run(20.0);
        let sent: u64 = net.stewards.values().map(Membership::sent).sum();
        sent as f64 / f64::from(count) / 20.0
    };
    let (few, many) = (rate(5), rate(40));
    assert!(many < few * 1.2, "{few} and {many} messages a second");
}
