//! Suspicions: how a suspicion begins, is confirmed by other nodes, and ends with the member being declared dead
//! (Lifeguard's suspicion timeout).
use super::membership::{Membership, MembershipOutput};
use super::peer::Peer;
use crate::member::{Member, Status};
use crate::safeguard::Safeguard;
use crate::{NodeId, Seconds};

/// Seconds of timeout for a confirmed suspicion, per unit of the natural logarithm of the number of live members. It is
/// long enough for the suspicion to reach its target by gossip and for the refutation to return.
const SUSPICION_TIMEOUT_PER_LN_MEMBERS: Seconds = 1.0;
/// Factor by which the timeout is longer while no other node has confirmed the suspicion.
const MAX_SUSPICION_TIMEOUT_MULTIPLIER: f64 = 3.0;
/// Confirmations by other nodes that reduce the timeout to its shortest value.
const EXPECTED_CONFIRMATIONS: usize = 2;
/// Fraction of the way from the longest to the shortest timeout by which it is reduced if no other node can confirm.
const UNCONFIRMABLE_REDUCTION_FRACTION: f64 = 0.5;

impl Membership {
    /// Suspects a member after a direct probe of it and indirect probes through `helpers` other nodes have failed.
    pub(super) fn suspect(
        &mut self,
        now: Seconds,
        id: NodeId,
        helpers: usize,
        output: &mut MembershipOutput,
    ) {
        let Some(member) = self.table.get(id).filter(|member| member.status.is_live()) else { return };
        let reported_by = Some(self.local_id());
        let suspect = Member { status: Status::Suspect, reported_by, ..member.clone() };
        let cause = format!("no ack to the direct probe nor to {helpers} indirect probes");
        self.apply_update(now, &suspect, &cause, output);
    }

    /// Counts a further node whose own probe of a suspect failed, which shortens the suspicion timeout. The first few
    /// confirmations are gossiped so that they reach all nodes.
    pub(super) fn count_confirmation(&mut self, update: &Member) {
        let Some(known) = self.table.get(update.id) else { return };
        let confirms = known.status == Status::Suspect
            && update.status == Status::Suspect
            && known.incarnation == update.incarnation;
        let Some(peer) = self.peers.get_mut(&update.id).filter(|_| confirms) else { return };
        let Some(reporter) = update.reported_by else { return };
        if peer.suspected_by.len() <= EXPECTED_CONFIRMATIONS && peer.suspected_by.insert(reporter) {
            self.gossip.enqueue(update.clone());
        }
    }

    /// Seconds until a suspicion ends in a death. Confirmations by other nodes shorten it, and bad local health of this
    /// node lengthens it.
    fn suspicion_timeout(&self, peer: &Peer) -> Seconds {
        let live = self.live_count();
        let shortest = SUSPICION_TIMEOUT_PER_LN_MEMBERS * (live as f64).ln().max(1.0);
        if self.table.is_disabled(Safeguard::LocalHealth) {
            return shortest;
        }
        let expected = EXPECTED_CONFIRMATIONS.min(live.saturating_sub(2));
        let confirmations = peer.suspected_by.len().saturating_sub(1).min(expected);
        let fraction = if expected == 0 {
            UNCONFIRMABLE_REDUCTION_FRACTION
        } else {
            ((confirmations + 1) as f64).ln() / ((expected + 1) as f64).ln()
        };
        let longest = shortest * MAX_SUSPICION_TIMEOUT_MULTIPLIER;
        (longest - (longest - shortest) * fraction) * self.health_multiplier()
    }

    /// Declares dead the suspects whose suspicion timeout has ended.
    pub(super) fn expire_suspicions(&mut self, now: Seconds, output: &mut MembershipOutput) {
        let has_timed_out = |member: &&Member| match self.peers.get(&member.id) {
            Some(peer) => now - peer.status_since >= self.suspicion_timeout(peer),
            None => false,
        };
        let suspects = self.table.others().filter(|member| member.status == Status::Suspect);
        let timed_out: Vec<Member> = suspects.filter(has_timed_out).cloned().collect();
        for suspect in timed_out {
            let cause = format!("not refuted; suspected by {}", self.suspected_by_list(suspect.id));
            let dead = Member { status: Status::Dead, reported_by: Some(self.local_id()), ..suspect };
            self.apply_update(now, &dead, &cause, output);
        }
    }

    fn suspected_by_list(&self, id: NodeId) -> String {
        let Some(peer) = self.peers.get(&id) else { return String::new() };
        let suspected_by: Vec<String> =
            peer.suspected_by.iter().map(|reporter| reporter.0.to_string()).collect();
        suspected_by.join(", ")
    }
}
