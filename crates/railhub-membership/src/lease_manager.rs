//! One steward's part in sharing a fleet: it hears from the others and from the store, and says what to send, which
//! slices it has gained and which it has lost. All that it may order it asks [`LeaseManager::may_order`], each time.
use crate::lease::HeldLeases;
use crate::member::{Load, Member, NodeMetadata};
use crate::messages::{MemberChange, Message, OutgoingMessage};
use crate::placement::{rendezvous_owner, Placement};
use crate::swim::{Membership, MembershipConfig};
use crate::{Epoch, NodeId, Seconds};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Seconds between two questions to the store while something is wanted, and until one without an answer is
/// given up.
const ASK_EVERY: Seconds = 0.2;
const ANSWER_WITHIN: Seconds = 1.0;
/// Questions without an answer, one after another, after which a steward that holds nothing says that it has no store.
const UNANSWERED_MOST: u32 = 2;
/// Slices named in one question: an answer brings their tables, and a takeover must not come in one lump.
const TAKEN_AT_ONCE: usize = 256;
/// Seconds that a store's refusal stands: what another holds is not asked for again at once.
const REFUSED_FOR: Seconds = 0.4;

/// What a steward asks the store for; all of it in one step, or nothing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    pub number: u64,
    pub process: u64,
    pub span: Seconds,
    pub take: Vec<u16>,
    pub renew: Vec<(u16, Epoch)>,
    pub release: Vec<(u16, Epoch)>,
}

/// The store's answer to a [`LeaseRequest`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseResponse {
    pub number: u64,
    /// Taken or renewed.
    pub granted: Vec<(u16, Epoch)>,
    /// Held by another.
    pub refused: Vec<u16>,
}

/// What follows from something heard.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Effects {
    pub mail: OutgoingMessage,
    pub request: Option<LeaseRequest>,
    pub gained: Vec<(u16, Epoch)>,
    /// Given up, or another's by the store's word.
    pub lost: Vec<u16>,
    /// Their leases are over, and nobody has said whose they are.
    pub lapsed: Vec<u16>,
    pub changed: Vec<MemberChange>,
}

/// Decides for one steward which slices to lease, renew and release.
pub struct LeaseManager {
    me: NodeId,
    process: u64,
    slices: u16,
    membership: Membership,
    sharing: Placement,
    leases: HeldLeases,
    number: u64,
    /// The question that is out, and since when.
    asked: Option<(u64, Seconds)>,
    ask_at: Seconds,
    refused: BTreeMap<u16, Seconds>,
    draining: bool,
    /// Questions to the store without an answer, one after another.
    unanswered: u32,
}

/// What a lease manager is given at its start.
pub struct LeaseManagerOptions<'a> {
    pub me: NodeId,
    /// Tells this process from all others; higher than those of earlier processes of the same steward.
    pub process: u64,
    /// All stewards of the installation with what they can bear.
    pub weights: &'a BTreeMap<NodeId, f64>,
    pub metadata: NodeMetadata,
    pub config: MembershipConfig,
    pub slices: u16,
    /// Seconds that a lease is granted for.
    pub span: Seconds,
    /// Seconds before the first question to the store: time to learn who else is there.
    pub settle: Seconds,
    pub seed: u64,
}

impl LeaseManager {
    pub fn new(options: &LeaseManagerOptions, now: Seconds) -> LeaseManager {
        let others: Vec<NodeId> = options.weights.keys().copied().collect();
        let mut sharing = Placement::new(options.weights.clone());
        others.iter().for_each(|id| sharing.hear(now, *id, true));
        let own = Member::alive(options.me, options.process, options.metadata.clone());
        let mut membership = Membership::new(own, options.config.clone(), now, options.seed);
        membership.expect(&others, now);
        LeaseManager {
            me: options.me,
            process: options.process,
            slices: options.slices,
            membership,
            sharing,
            leases: HeldLeases::new(options.span),
            number: 0,
            asked: None,
            ask_at: now + options.settle,
            refused: BTreeMap::new(),
            draining: false,
            unanswered: 0,
        }
    }

    /// The epoch under which a slice may be ordered at this moment, if it may be.
    pub fn valid_epoch(&self, now: Seconds, slice: u16) -> Option<Epoch> {
        self.leases.valid_epoch(now, slice)
    }

    /// A question to the store is out.
    pub fn request_in_flight(&self) -> bool {
        self.asked.is_some()
    }

    /// All that is held, to be asked at the moment of writing by those that write.
    pub fn leases(&self) -> &HeldLeases {
        &self.leases
    }

    pub fn held(&self) -> impl Iterator<Item = (u16, Epoch)> + '_ {
        self.leases.held()
    }

    /// It is to go: its slices are handed over, and nothing new is taken.
    pub fn drain(&mut self) {
        self.draining = true;
        self.membership.drain();
        self.sharing.drain(self.me, true);
    }

    pub fn draining(&self) -> bool {
        self.draining
    }

    pub fn is_drained(&self) -> bool {
        self.draining && self.leases.count() == 0
    }

    /// Who lives, and what is known of them.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    pub fn set_load(&mut self, load: Load) {
        self.membership.set_load(load);
    }

    /// Tells the others that we go.
    pub fn leave(&mut self, now: Seconds) -> Effects {
        Effects { mail: self.membership.leave(now), ..Effects::default() }
    }

    pub fn hear(&mut self, now: Seconds, message: &Message) -> Effects {
        let (mail, changed) = self.membership.hear(now, message);
        self.follow(now, &changed);
        Effects { mail, changed, ..Effects::default() }
    }

    fn follow(&mut self, now: Seconds, changed: &[MemberChange]) {
        for change in changed {
            self.sharing.meet(change.about);
            self.sharing.hear(now, change.about, self.membership.may_own_slices(change.about));
            self.sharing.drain(change.about, self.membership.draining(change.about));
        }
        self.sharing.hear(now, self.me, self.membership.may_own_slices(self.me));
    }

    pub fn tick(&mut self, now: Seconds) -> Effects {
        // Before anything else: what a pause or a store that was away has cost.
        let mut acts = Effects { lapsed: self.leases.take_expired(now), ..Effects::default() };
        (acts.mail, acts.changed) = self.membership.tick(now);
        self.follow(now, &acts.changed);
        if self.asked.is_some_and(|(_, at)| now - at > ANSWER_WITHIN) {
            self.asked = None;
            self.unanswered += 1;
        }
        // One that lives and cannot hold anything would keep its slices from everyone for as long as it lives.
        let store_unreachable = self.unanswered >= UNANSWERED_MOST && self.leases.count() == 0;
        self.membership.set_no_store(store_unreachable);
        self.sharing.hear(now, self.me, self.membership.may_own_slices(self.me));
        if self.asked.is_none() && now >= self.ask_at {
            acts.request = self.next_request(now, &mut acts.lost);
        }
        acts
    }

    fn next_request(&mut self, now: Seconds, lost: &mut Vec<u16>) -> Option<LeaseRequest> {
        let eligible_nodes = self.sharing.eligible_nodes(now);
        let ours = |slice: u16| rendezvous_owner(slice, &eligible_nodes) == Some(self.me);
        let held: BTreeSet<u16> = self.leases.held().map(|(slice, _)| slice).collect();
        let refused = |slice: &u16| self.refused.get(slice).is_some_and(|at| now - at < REFUSED_FOR);
        let wanted =
            (0..self.slices).filter(|slice| !held.contains(slice) && ours(*slice) && !refused(slice));
        let take: Vec<u16> = wanted.take(TAKEN_AT_ONCE).collect();
        // Without anyone to give them to, slices are kept: a poor steward is better than none.
        let to_give: Vec<u16> =
            held.iter().copied().filter(|slice| !eligible_nodes.is_empty() && !ours(*slice)).collect();
        let mut release = Vec::new();
        for slice in to_give {
            if !self.sharing.take_handover_permit(now) {
                break;
            }
            if let Some(epoch) = self.leases.release_slice(slice) {
                release.push((slice, epoch));
                lost.push(slice);
            }
        }
        let renews = now >= self.leases.renewal_due_at();
        let renew: Vec<(u16, Epoch)> = if renews { self.leases.held().collect() } else { Vec::new() };
        self.ask_at = now + ASK_EVERY;
        // One that the store did not answer asks on, for nothing if need be: else it would never hear that it is back.
        if take.is_empty() && renew.is_empty() && release.is_empty() && self.unanswered == 0 {
            return None;
        }
        self.number += 1;
        self.asked = Some((self.number, now));
        let (number, process, span) = (self.number, self.process, self.leases.span());
        Some(LeaseRequest { number, process, span, take, renew, release })
    }

    /// The store's answer. One to a question that was given up still counts from when that was asked: it is known
    /// only for the question that is out, so a late one is left alone, and the store's grant lapses unused.
    pub fn on_response(&mut self, now: Seconds, response: &LeaseResponse) -> Effects {
        let Some((_, asked)) = self.asked.filter(|asked| asked.0 == response.number) else {
            return Effects::default();
        };
        self.asked = None;
        self.unanswered = 0;
        let before: BTreeMap<u16, Epoch> = self.leases.held().collect();
        self.leases.granted(now, asked, &response.granted);
        self.leases.refused(&response.refused);
        self.refused.retain(|_, at| now - *at < REFUSED_FOR);
        self.refused.extend(response.refused.iter().map(|slice| (*slice, now)));
        let after: BTreeMap<u16, Epoch> = self.leases.held().collect();
        let gained = after.iter().filter(|(slice, epoch)| before.get(slice) != Some(epoch));
        Effects {
            gained: gained.map(|(slice, epoch)| (*slice, *epoch)).collect(),
            lost: before.into_keys().filter(|slice| !after.contains_key(slice)).collect(),
            ..Effects::default()
        }
    }

    /// When [`LeaseManager::tick`] wants to be called next.
    pub fn next_at(&self, now: Seconds) -> Seconds {
        let ask = if self.asked.is_none() { self.ask_at.max(now + 0.01) } else { f64::INFINITY };
        self.membership
            .next_at()
            .min(ask)
            .min(self.leases.earliest_expiry().unwrap_or(f64::INFINITY))
            .max(now + 0.005)
    }
}
