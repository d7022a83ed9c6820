//! The lease manager of one node: it receives messages of other nodes and responses of the lease store, and tells the
//! driver what to send, which slices the node has acquired and which it has lost.
//!
//! It owns the node's [`Membership`], the [`Placement`] that follows from it, and the node's [`HeldLeases`]. Whoever
//! writes for a slice checks [`LeaseManager::valid_epoch`] at the moment of writing.
//!
//! The numbered way of one slice from a dead node to this one:
//! 1. Membership declares the node dead ([`LeaseManager::on_message`], [`LeaseManager::tick`]).
//! 2. Placement makes this node the slice's owner; the next request to the store wants to acquire it.
//! 3. The store refuses as long as the dead node's lease lasts; the slice is wanted again after a pause.
//! 4. The store grants it under a higher epoch ([`LeaseManager::on_response`]): the driver learns that it is acquired.
//!
//! Requests to the store: Idle -> InFlight (sent) -> Idle (response, or the response timeout). One is in flight at most.
use crate::lease::HeldLeases;
use crate::lease_messages::{LeaseRequest, LeaseResponse};
use crate::member::{Load, Member, NodeMetadata};
use crate::messages::{MemberChange, Message, OutgoingMessage};
use crate::placement::{rendezvous_owner, Placement};
use crate::swim::{Membership, MembershipConfig, MembershipOutput};
use crate::{Epoch, NodeId, Seconds};
use std::collections::{BTreeMap, BTreeSet};

/// Seconds between two requests to the store while there is something to request.
const REQUEST_INTERVAL: Seconds = 0.2;
/// Seconds after which a request without a response is given up.
const RESPONSE_TIMEOUT: Seconds = 1.0;
/// Requests without a response, one after another, after which a node that holds nothing publishes that the store is
/// unreachable.
const MAX_UNANSWERED_REQUESTS: u32 = 2;
/// Slices that one request acquires: the response brings their tables, and a takeover must not come in one lump.
const ACQUIRE_BATCH_LIMIT: usize = 256;
/// Seconds that a slice which the store refused is not requested again.
const REFUSAL_BACKOFF: Seconds = 0.4;
/// Shortest times in seconds from now to the next request, and to the next tick.
const MIN_REQUEST_DELAY: Seconds = 0.01;
const MIN_TICK_DELAY: Seconds = 0.005;

/// What the driver is to do after a call.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Effects {
    /// Messages to other nodes, in order.
    pub messages: Vec<OutgoingMessage>,
    /// A request to the lease store.
    pub lease_request: Option<LeaseRequest>,
    /// Slices that are held from now on, or under a new epoch.
    pub acquired: Vec<(u16, Epoch)>,
    /// Slices that were released, or revoked by the store.
    pub lost: Vec<u16>,
    /// Slices whose leases have expired; who holds them next is not known.
    pub expired: Vec<u16>,
    /// Changes of the membership's view.
    pub member_changes: Vec<MemberChange>,
}

impl From<MembershipOutput> for Effects {
    fn from(output: MembershipOutput) -> Effects {
        Effects { messages: output.messages, member_changes: output.changes, ..Effects::default() }
    }
}

/// Whether a request to the store waits for its response.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RequestState {
    Idle,
    InFlight { number: u64, sent_at: Seconds },
}

/// Decides for one node which slices to acquire, renew and release.
pub struct LeaseManager {
    id: NodeId,
    process: u64,
    /// Number of slices of the installation.
    slices: u16,
    membership: Membership,
    placement: Placement,
    leases: HeldLeases,
    last_request_number: u64,
    request_state: RequestState,
    next_request_at: Seconds,
    /// When the store last refused each slice.
    refused_at: BTreeMap<u16, Seconds>,
    draining: bool,
    /// Requests without a response, one after another.
    unanswered_requests: u32,
}

/// What a lease manager is given at its start.
pub struct LeaseManagerOptions<'a> {
    /// The node's id.
    pub id: NodeId,
    /// Number of the process: differs from all others, and is higher than those of earlier processes of the same node.
    pub process: u64,
    /// All nodes of the settings with what they can bear relative to each other.
    pub weights: &'a BTreeMap<NodeId, f64>,
    /// What the node publishes of itself.
    pub metadata: NodeMetadata,
    /// Settings of membership.
    pub config: MembershipConfig,
    /// Number of slices of the installation.
    pub slices: u16,
    /// Seconds that a lease lasts.
    pub lease_duration: Seconds,
    /// Seconds before the first request to the store: time to learn who else is there.
    pub settle_time: Seconds,
    /// Seed of membership's random choices.
    pub seed: u64,
}

impl LeaseManager {
    /// Starts with all nodes of the settings counted as alive.
    pub fn new(options: &LeaseManagerOptions, now: Seconds) -> LeaseManager {
        let nodes: Vec<NodeId> = options.weights.keys().copied().collect();
        let mut placement = Placement::new(options.weights.clone());
        for id in &nodes {
            placement.update_liveness(now, *id, true);
        }
        let local = Member::alive(options.id, options.process, options.metadata.clone());
        let mut membership = Membership::new(local, options.config.clone(), now, options.seed);
        membership.add_expected_nodes(&nodes, now);
        LeaseManager {
            id: options.id,
            process: options.process,
            slices: options.slices,
            membership,
            placement,
            leases: HeldLeases::new(options.lease_duration),
            last_request_number: 0,
            request_state: RequestState::Idle,
            next_request_at: now + options.settle_time,
            refused_at: BTreeMap::new(),
            draining: false,
            unanswered_requests: 0,
        }
    }

    /// The epoch under which a slice may be written at this moment, if it may be.
    pub fn valid_epoch(&self, now: Seconds, slice: u16) -> Option<Epoch> {
        self.leases.valid_epoch(now, slice)
    }

    /// Whether a request to the store waits for its response.
    pub fn request_in_flight(&self) -> bool {
        matches!(self.request_state, RequestState::InFlight { .. })
    }

    /// All leases, for those that write to check at the moment of writing.
    pub fn leases(&self) -> &HeldLeases {
        &self.leases
    }

    /// Begins to hand all slices over; no more are acquired.
    pub fn start_draining(&mut self) {
        self.draining = true;
        self.membership.start_draining();
        self.placement.set_draining(self.id, true);
    }

    /// Whether the node hands its slices over.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Whether the node has handed all its slices over.
    pub fn is_drained(&self) -> bool {
        self.draining && self.leases.count() == 0
    }

    /// The node's view of the others.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// The load that goes with each message from now on.
    pub fn set_load(&mut self, load: Load) {
        self.membership.set_load(load);
    }

    /// Tells the other nodes that this one leaves.
    pub fn leave(&mut self) -> Effects {
        self.membership.leave().into()
    }

    /// Applies a message of another node.
    pub fn on_message(&mut self, now: Seconds, message: &Message) -> Effects {
        let output = self.membership.on_message(now, message);
        self.update_placement(now, &output.changes);
        output.into()
    }

    fn update_placement(&mut self, now: Seconds, changes: &[MemberChange]) {
        for change in changes {
            self.placement.add_node(change.id);
            self.placement.update_liveness(now, change.id, self.membership.may_hold_slices(change.id));
            self.placement.set_draining(change.id, self.membership.is_draining(change.id));
        }
        self.update_own_liveness(now);
    }

    fn update_own_liveness(&mut self, now: Seconds) {
        self.placement.update_liveness(now, self.id, self.membership.may_hold_slices(self.id));
    }

    /// Does what is due: drops expired leases, lets membership do its part, and requests what is to change.
    pub fn tick(&mut self, now: Seconds) -> Effects {
        // First of all what a pause, or a store that did not answer, has cost.
        let expired = self.leases.take_expired(now);
        let output = self.membership.tick(now);
        self.update_placement(now, &output.changes);
        self.expire_unanswered_request(now);
        self.publish_store_reachability(now);
        let mut effects = Effects { expired, ..output.into() };
        if self.request_state == RequestState::Idle && now >= self.next_request_at {
            effects.lease_request = self.next_request(now, &mut effects.lost);
        }
        effects
    }

    fn expire_unanswered_request(&mut self, now: Seconds) {
        if let RequestState::InFlight { sent_at, .. } = self.request_state {
            if now - sent_at > RESPONSE_TIMEOUT {
                self.request_state = RequestState::Idle;
                self.unanswered_requests += 1;
            }
        }
    }

    /// A node that lives and cannot hold a lease would keep its slices from everyone, so it publishes that.
    fn publish_store_reachability(&mut self, now: Seconds) {
        let unreachable = self.unanswered_requests >= MAX_UNANSWERED_REQUESTS && self.leases.count() == 0;
        self.membership.set_store_unreachable(unreachable);
        self.update_own_liveness(now);
    }

    fn next_request(&mut self, now: Seconds, lost: &mut Vec<u16>) -> Option<LeaseRequest> {
        let eligible = self.placement.eligible_nodes(now);
        let acquire = self.slices_to_acquire(now, &eligible);
        let release = self.release_foreign_slices(now, &eligible);
        lost.extend(release.iter().map(|(slice, _)| *slice));
        let renewal_is_due = now >= self.leases.renewal_due_at();
        let renew = if renewal_is_due { self.leases.held().collect() } else { Vec::new() };
        self.next_request_at = now + REQUEST_INTERVAL;
        // An unreachable store is sent requests on, empty ones if need be: else its return would go unnoticed.
        let is_empty = acquire.is_empty() && renew.is_empty() && release.is_empty();
        if is_empty && self.unanswered_requests == 0 {
            return None;
        }
        self.last_request_number += 1;
        let number = self.last_request_number;
        self.request_state = RequestState::InFlight { number, sent_at: now };
        let duration = self.leases.duration();
        Some(LeaseRequest { number, process: self.process, duration, acquire, renew, release })
    }

    /// The slices that belong to this node, are not held, and were not refused a moment ago.
    fn slices_to_acquire(&self, now: Seconds, eligible: &BTreeMap<NodeId, f64>) -> Vec<u16> {
        let held: BTreeSet<u16> = self.leases.held().map(|(slice, _)| slice).collect();
        let was_refused = |slice: &u16| match self.refused_at.get(slice) {
            Some(refused_at) => now - refused_at < REFUSAL_BACKOFF,
            None => false,
        };
        (0..self.slices)
            .filter(|slice| {
                !held.contains(slice) && self.belongs_here(*slice, eligible) && !was_refused(slice)
            })
            .take(ACQUIRE_BATCH_LIMIT)
            .collect()
    }

    /// Gives up slices that belong to another node, as many as may be handed over now. Without an eligible node slices
    /// are kept: a poor holder is better than none.
    fn release_foreign_slices(
        &mut self,
        now: Seconds,
        eligible: &BTreeMap<NodeId, f64>,
    ) -> Vec<(u16, Epoch)> {
        if eligible.is_empty() {
            return Vec::new();
        }
        let held = self.leases.held().map(|(slice, _)| slice);
        let foreign: Vec<u16> = held.filter(|slice| !self.belongs_here(*slice, eligible)).collect();
        let mut released = Vec::new();
        for slice in foreign {
            if !self.placement.take_handover_permit(now) {
                break;
            }
            released.extend(self.leases.release(slice).map(|epoch| (slice, epoch)));
        }
        released
    }

    /// Whether placement gives the slice to this node, whoever holds its lease.
    fn belongs_here(&self, slice: u16, eligible: &BTreeMap<NodeId, f64>) -> bool {
        rendezvous_owner(slice, eligible) == Some(self.id)
    }

    /// Applies the store's response. One to a request that was given up is ignored: what it grants expires unused.
    pub fn on_response(&mut self, now: Seconds, response: &LeaseResponse) -> Effects {
        let sent_at = match self.request_state {
            RequestState::InFlight { number, sent_at } if number == response.number => sent_at,
            RequestState::InFlight { .. } | RequestState::Idle => return Effects::default(),
        };
        self.request_state = RequestState::Idle;
        self.unanswered_requests = 0;
        let before: BTreeMap<u16, Epoch> = self.leases.held().collect();
        self.leases.on_granted(now, sent_at, &response.granted);
        self.leases.on_refused(&response.refused);
        self.refused_at.retain(|_, refused_at| now - *refused_at < REFUSAL_BACKOFF);
        self.refused_at.extend(response.refused.iter().map(|slice| (*slice, now)));
        let after: BTreeMap<u16, Epoch> = self.leases.held().collect();
        let acquired = after.iter().filter(|(slice, epoch)| before.get(slice) != Some(epoch));
        Effects {
            acquired: acquired.map(|(slice, epoch)| (*slice, *epoch)).collect(),
            lost: before.into_keys().filter(|slice| !after.contains_key(slice)).collect(),
            ..Effects::default()
        }
    }

    /// When [`LeaseManager::tick`] is to be called next.
    pub fn next_tick_at(&self, now: Seconds) -> Seconds {
        let request_at = match self.request_state {
            RequestState::Idle => self.next_request_at.max(now + MIN_REQUEST_DELAY),
            RequestState::InFlight { .. } => f64::INFINITY,
        };
        let expiry_at = self.leases.earliest_expiry().unwrap_or(f64::INFINITY);
        self.membership.next_tick_at().min(request_at).min(expiry_at).max(now + MIN_TICK_DELAY)
    }
}
