//! The membership state of one node, and its public queries.
use super::config::MembershipConfig;
use super::join_schedule::JoinSchedule;
use super::peer::Peer;
use super::pending_probe::PendingProbe;
use crate::gossip::GossipQueue;
use crate::local_health::LocalHealth;
use crate::member::{Incarnation, Load, Member, Status};
use crate::messages::{Destination, MemberChange, Message, OutgoingMessage, Payload, MAX_GOSSIP_PER_MESSAGE};
use crate::safeguard::Safeguard;
use crate::table::{MemberTable, MergeOutcome};
use crate::view::ViewEntry;
use crate::{NodeId, Seconds};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The results of a call, for the driver to carry out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MembershipOutput {
    /// Messages to send, in order.
    pub messages: Vec<OutgoingMessage>,
    /// Changes of the view, in order.
    pub changes: Vec<MemberChange>,
}

/// A reported process that has this node's id and a higher process number.
#[derive(Clone, Copy, Debug)]
pub(super) struct IdentityConflict {
    pub(super) process: u64,
    pub(super) address: Option<SocketAddr>,
    pub(super) reported_at: Seconds,
}

/// One node's view of the members, and the probes, suspicions and gossip that keep it up to date.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(super) table: MemberTable,
    pub(super) config: MembershipConfig,
    pub(super) peers: BTreeMap<NodeId, Peer>,
    /// Members still to be probed in this round, the next one last.
    pub(super) probe_order: Vec<NodeId>,
    pub(super) pending: Vec<PendingProbe>,
    pub(super) gossip: GossipQueue,
    pub(super) health: LocalHealth,
    pub(super) load: Load,
    pub(super) started_at: Seconds,
    pub(super) last_probe_number: u64,
    pub(super) last_sequence: u64,
    pub(super) next_probe_at: Seconds,
    pub(super) last_tick_at: Seconds,
    pub(super) next_sync_at: Seconds,
    /// First id of the digest page that the next sync sends.
    pub(super) next_sync_from: NodeId,
    pub(super) join: JoinSchedule,
    pub(super) conflict: Option<IdentityConflict>,
    pub(super) superseded: bool,
    pub(super) rejected_entries: u64,
    pub(super) rng: ChaCha8Rng,
}

impl Membership {
    /// `local`: the node's own entry. Its process number should be higher than those of all earlier processes of the
    /// node; if one turns out to be higher, see [`MergeOutcome::IdentityConflict`].
    pub fn new(local: Member, config: MembershipConfig, now: Seconds, seed: u64) -> Membership {
        let rng = ChaCha8Rng::seed_from_u64(seed ^ u64::from(local.id.0));
        let mut gossip = GossipQueue::default();
        gossip.enqueue_front(local.clone());
        Membership {
            table: MemberTable::new(local, config.without),
            config,
            peers: BTreeMap::new(),
            probe_order: Vec::new(),
            pending: Vec::new(),
            gossip,
            health: LocalHealth::default(),
            load: Load::default(),
            started_at: now,
            last_probe_number: 0,
            last_sequence: 0,
            next_probe_at: now,
            last_tick_at: now,
            next_sync_at: now,
            next_sync_from: NodeId(0),
            join: JoinSchedule::new(now),
            conflict: None,
            superseded: false,
            rejected_entries: 0,
            rng,
        }
    }

    /// Considers the configured nodes alive until a probe of them fails, so that a starting node does not take over the
    /// slices that they hold.
    pub fn add_expected_nodes(&mut self, nodes: &[NodeId], now: Seconds) {
        let local = self.local_id();
        for id in nodes.iter().filter(|id| **id != local) {
            let member = Member::alive(*id, 0, Default::default());
            if let MergeOutcome::Updated { .. } = self.table.merge(&member, false) {
                self.peers.insert(*id, Peer::new(now));
            }
        }
    }

    /// This node's id.
    pub fn local_id(&self) -> NodeId {
        self.table.local().id
    }

    /// This node's own entry.
    pub fn local_member(&self) -> &Member {
        self.table.local()
    }

    /// This node's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.table.local().incarnation
    }

    /// A node's status; [`Status::Forgotten`] for an unknown one.
    pub fn status(&self, id: NodeId) -> Status {
        self.table.get(id).map_or(Status::Forgotten, |member| member.status)
    }

    /// The address at which a node is reached, if it is known.
    pub fn address(&self, id: NodeId) -> Option<SocketAddr> {
        self.table.get(id).and_then(|member| member.metadata.address)
    }

    /// Whether a node is handing its slices over.
    pub fn is_draining(&self, id: NodeId) -> bool {
        self.table.get(id).is_some_and(|member| member.metadata.draining)
    }

    /// Whether this process has stopped taking part because a process with this node's id and a higher number is alive.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Digest of the view: equal for all nodes whose views have the same live processes and metadata.
    pub fn digest(&self) -> u64 {
        self.table.digest()
    }

    /// Number of entries of new members that were rejected because the table was full.
    pub fn rejected_entries(&self) -> u64 {
        self.rejected_entries
    }

    /// Whether a node may hold slices, as far as is known. A suspect may: its slices become free only when its leases
    /// expire, so assigning them to other nodes before it is declared dead gains nothing.
    pub fn may_hold_slices(&self, id: NodeId) -> bool {
        if self.table.get(id).is_some_and(|member| member.metadata.store_unreachable) {
            return false;
        }
        if id == self.local_id() {
            return !self.has_majority_vote(id, self.last_tick_at);
        }
        self.status(id).is_live() && !self.peers.get(&id).is_some_and(|peer| peer.ejected)
    }

    /// Number of live members, including this node.
    pub fn live_count(&self) -> usize {
        1 + self.live_peers().count()
    }

    pub(super) fn live_peers(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.table.others().filter(|member| member.status.is_live()).map(|member| member.id)
    }

    /// Number of messages sent so far.
    pub fn messages_sent(&self) -> u64 {
        self.last_sequence
    }

    /// Number of entries queued for gossip.
    pub fn queued_gossip(&self) -> usize {
        self.gossip.len()
    }

    /// The complete view, including this node, in the order of ids.
    pub fn view(&self, now: Seconds) -> Vec<ViewEntry> {
        let local = ViewEntry {
            member: self.table.local().clone(),
            load: self.load,
            status_age: now - self.started_at,
            last_seen_ago: 0.0,
            ejected: !self.may_hold_slices(self.local_id()),
        };
        let others = self.table.others().filter_map(|member| {
            let peer = self.peers.get(&member.id)?;
            Some(ViewEntry {
                member: member.clone(),
                load: peer.load,
                status_age: now - peer.status_since,
                last_seen_ago: now - peer.last_seen_at,
                ejected: peer.ejected,
            })
        });
        let mut entries: Vec<ViewEntry> = others.chain([local]).collect();
        entries.sort_by_key(|entry| entry.member.id);
        entries
    }

    /// Lifeguard's local health multiplier.
    pub(super) fn health_multiplier(&self) -> f64 {
        if self.table.is_disabled(Safeguard::LocalHealth) {
            1.0
        } else {
            self.health.multiplier()
        }
    }

    /// Sends a message that contains `entries`, followed by as much queued gossip as fits.
    pub(super) fn send(
        &mut self,
        to: Destination,
        probe_number: u64,
        payload: Payload,
        entries: Vec<Member>,
        output: &mut MembershipOutput,
    ) {
        let message = self.message(probe_number, payload, entries);
        output.messages.push(OutgoingMessage { to, message });
    }

    fn message(&mut self, probe_number: u64, payload: Payload, entries: Vec<Member>) -> Message {
        let unlimited = self.table.is_disabled(Safeguard::GossipLimit);
        let max_queued = match payload {
            // A digest page with the most entries leaves no room for gossip in its datagram.
            Payload::SyncDigest { .. } => 0,
            _ => MAX_GOSSIP_PER_MESSAGE.saturating_sub(entries.len()),
        };
        let mut gossip = entries;
        let queued = self.gossip.take(max_queued, &gossip, self.peers.len() + 1, unlimited);
        gossip.extend(queued);
        self.last_sequence += 1;
        Message {
            sender: self.table.local().clone(),
            sequence: self.last_sequence,
            load: self.load,
            probe_number,
            payload,
            gossip,
            outlier: self.outlier(),
            view_digest: self.table.digest(),
        }
    }
}
