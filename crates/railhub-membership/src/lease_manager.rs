//! The lease manager of one node: it receives messages from other nodes and responses from the lease store, and returns
//! what the driver has to send, which slices the node has acquired and which it has lost.
//!
//! It owns the node's [`Membership`], the [`Placement`] that follows from it, and the node's [`HeldLeases`]. Each write
//! for a slice must check [`LeaseManager::valid_epoch`] at the moment of writing.
//!
//! How a slice moves from a dead node to this one:
//! 1. Membership declares the node dead ([`LeaseManager::on_message`], [`LeaseManager::tick`]).
//! 2. Placement makes this node the slice's owner; the next request to the store asks to acquire it.
//! 3. The store refuses while the dead node's lease lasts; the slice is requested again after a backoff.
//! 4. The store grants it under a higher epoch ([`LeaseManager::on_response`]) and the driver is told that the slice is
//!    acquired.
//!
//! State of requests to the store: Idle -> InFlight (sent) -> Idle (response or response timeout). At most one request
//! is in flight.
use crate::lease::HeldLeases;
use crate::lease_messages::{LeaseRequest, LeaseResponse};
use crate::member::{Load, Member, NodeMetadata};
use crate::messages::{MemberChange, Message, OutgoingMessage};
use crate::placement::{rendezvous_owner, Placement};
use crate::swim::{Membership, MembershipConfig, MembershipOutput};
use crate::{Epoch, NodeId, Seconds};
use std::collections::{BTreeMap, BTreeSet};

/// Seconds between two requests to the store while there are changes to request.
const REQUEST_INTERVAL: Seconds = 0.2;
/// Seconds after which an unanswered request is abandoned.
const RESPONSE_TIMEOUT: Seconds = 1.0;
/// Consecutive unanswered requests after which a node that holds no lease publishes that the store is unreachable.
const MAX_UNANSWERED_REQUESTS: u32 = 2;
/// The most slices that one request acquires. The response contains their tables, so a takeover is split into several
/// responses.
const ACQUIRE_BATCH_LIMIT: usize = 256;
/// Seconds for which a slice that the store refused is not requested again.
const REFUSAL_BACKOFF: Seconds = 0.4;
/// Shortest time in seconds from now to the next request.
const MIN_REQUEST_DELAY: Seconds = 0.01;
/// Shortest time in seconds from now to the next tick.
const MIN_TICK_DELAY: Seconds = 0.005;

/// The results of a call, for the driver to carry out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Effects {
    /// Messages to send to other nodes, in order.
    pub messages: Vec<OutgoingMessage>,
    /// A request to send to the lease store.
    pub lease_request: Option<LeaseRequest>,
    /// Slices that were acquired, or whose epoch has changed.
    pub acquired: Vec<(u16, Epoch)>,
    /// Slices that were released or revoked.
    pub lost: Vec<u16>,
    /// Slices whose leases have expired; their next holder is not known.
    pub expired: Vec<u16>,
    /// Changes of the node's view of the members.
    pub member_changes: Vec<MemberChange>,
}

impl From<MembershipOutput> for Effects {
    fn from(output: MembershipOutput) -> Effects {
        Effects { messages: output.messages, member_changes: output.changes, ..Effects::default() }
    }
}

/// Whether a request to the store is awaiting its response.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RequestState {
    Idle,
    InFlight { number: u64, sent_at: Seconds },
}

/// Decides which slices one node acquires, renews and releases.
pub struct LeaseManager {
    id: NodeId,
    process: u64,
    /// Number of slices in the installation.
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
    /// Consecutive requests that got no response.
    unanswered_requests: u32,
}

/// Settings with which a lease manager starts.
pub struct LeaseManagerOptions<'a> {
    /// The node's id.
    pub id: NodeId,
    /// Process number: unique, and higher than those of earlier processes of the same node.
    pub process: u64,
    /// All configured nodes with their weights, which are their capacities relative to each other.
    pub weights: &'a BTreeMap<NodeId, f64>,
    /// What the node publishes about itself.
    pub metadata: NodeMetadata,
    /// Settings of membership.
    pub config: MembershipConfig,
    /// Number of slices in the installation.
    pub slices: u16,
    /// Seconds that a lease lasts.
    pub lease_duration: Seconds,
    /// Seconds to wait before the first request to the store, in which other members are discovered.
    pub settle_time: Seconds,
    /// Seed of the random choices that membership makes.
    pub seed: u64,
}

impl LeaseManager {
    /// Creates the manager with all configured nodes considered alive.
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

    /// The epoch under which a slice may be written at `now`, if it may be written.
    pub fn valid_epoch(&self, now: Seconds, slice: u16) -> Option<Epoch> {
        self.leases.valid_epoch(now, slice)
    }

    /// Whether a request to the store is awaiting its response.
    pub fn request_in_flight(&self) -> bool {
        matches!(self.request_state, RequestState::InFlight { .. })
    }

    /// All held leases. A writer checks the lease of its slice at the moment of writing.
    pub fn leases(&self) -> &HeldLeases {
        &self.leases
    }

    /// Starts handing over all slices; no more are acquired.
    pub fn start_draining(&mut self) {
        self.draining = true;
        self.membership.start_draining();
        self.placement.set_draining(self.id, true);
    }

    /// Whether the node is handing its slices over.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Whether the node has handed all its slices over.
    pub fn is_drained(&self) -> bool {
        self.draining && self.leases.count() == 0
    }

    /// The node's membership state.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Sets the load that is sent with each message from now on.
    pub fn set_load(&mut self, load: Load) {
        self.membership.set_load(load);
    }

    /// Announces to the other nodes that this one leaves.
    pub fn leave(&mut self) -> Effects {
        self.membership.leave().into()
    }

    /// Applies a message from another node.
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

    /// Does all work that is due: drops expired leases, ticks membership, and sends the next request to the store.
    pub fn tick(&mut self, now: Seconds) -> Effects {
        // Expired leases come first: this process may have been paused, or the store may not have answered.
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

    /// Publishes whether the store is unreachable. Placement would otherwise go on assigning slices to a live node that
    /// cannot acquire their leases, and no other node would take them.
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
        // While the store is unreachable, requests go on even if they are empty, to notice when it answers again.
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

    /// The slices that placement gives to this node, that are not held, and that were not refused recently.
    fn slices_to_acquire(&self, now: Seconds, eligible: &BTreeMap<NodeId, f64>) -> Vec<u16> {
        let held: BTreeSet<u16> = self.leases.held().map(|(slice, _)| slice).collect();
        let was_refused = |slice: &u16| match self.refused_at.get(slice) {
            Some(refused_at) => now - refused_at < REFUSAL_BACKOFF,
            None => false,
        };
        (0..self.slices)
            .filter(|slice| {
                !held.contains(slice) && self.is_placed_here(*slice, eligible) && !was_refused(slice)
            })
            .take(ACQUIRE_BATCH_LIMIT)
            .collect()
    }

    /// Releases slices that placement gives to other nodes, as far as the handover rate allows. If no node is eligible,
    /// slices are kept, since an ineligible holder is better than none.
    fn release_foreign_slices(
        &mut self,
        now: Seconds,
        eligible: &BTreeMap<NodeId, f64>,
    ) -> Vec<(u16, Epoch)> {
        if eligible.is_empty() {
            return Vec::new();
        }
        let held = self.leases.held().map(|(slice, _)| slice);
        let foreign: Vec<u16> = held.filter(|slice| !self.is_placed_here(*slice, eligible)).collect();
        let mut released = Vec::new();
        for slice in foreign {
            if !self.placement.take_handover_permit(now) {
                break;
            }
            released.extend(self.leases.release(slice).map(|epoch| (slice, epoch)));
        }
        released
    }

    /// Whether placement gives the slice to this node, regardless of which node holds its lease.
    fn is_placed_here(&self, slice: u16, eligible: &BTreeMap<NodeId, f64>) -> bool {
        rendezvous_owner(slice, eligible) == Some(self.id)
    }

    /// Applies the store's response. A response to an abandoned request is ignored: its grants expire unused.
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

    /// When [`LeaseManager::tick`] has to be called next.
    pub fn next_tick_at(&self, now: Seconds) -> Seconds {
        let request_at = match self.request_state {
            RequestState::Idle => self.next_request_at.max(now + MIN_REQUEST_DELAY),
            RequestState::InFlight { .. } => f64::INFINITY,
        };
        let expiry_at = self.leases.earliest_expiry().unwrap_or(f64::INFINITY);
        self.membership.next_tick_at().min(request_at).min(expiry_at).max(now + MIN_TICK_DELAY)
    }
}
