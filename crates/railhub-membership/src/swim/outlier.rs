//! Ejecting a slow member. It acknowledges probes, so no suspicion of it ends in its death: each node names the one
//! whose probe score stands out, and a member that a majority names is ejected: it stays alive and holds no slices.
//! Since each node names one at most, at most one is ejected.
use super::membership::{Membership, MembershipOutput};
use super::peer::OutlierVote;
use crate::member::Status;
use crate::messages::MemberChange;
use crate::probe_score::OUTLIER_SCORE_GAP;
use crate::{NodeId, Seconds};

/// Seconds that another node's vote counts.
const VOTE_LIFETIME: Seconds = 5.0;
/// Live members below which none is ejected: two cannot judge each other.
const MIN_VOTERS: usize = 3;

impl Membership {
    /// The live member whose score stands out, if one does.
    pub(super) fn outlier(&self) -> Option<NodeId> {
        let alive = self.table.others().filter(|member| member.status == Status::Alive);
        let score = |id: NodeId| self.peers.get(&id).map_or(0.0, |peer| peer.probe_score.score());
        let mut scores: Vec<(f64, NodeId)> = alive.map(|member| (score(member.id), member.id)).collect();
        scores.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let (worst_score, worst) = *scores.first()?;
        let next_score = scores.get(1).map_or(0.0, |next| next.0);
        (worst_score > next_score + OUTLIER_SCORE_GAP).then_some(worst)
    }

    /// Whether a majority of the live members names this one.
    pub(super) fn has_majority_vote(&self, id: NodeId, now: Seconds) -> bool {
        let live = self.live_count();
        let counts = |vote: OutlierVote| vote.id == id && now - vote.at <= VOTE_LIFETIME;
        let votes_of_others = self.peers.iter().filter(|(voter, peer)| {
            self.status(**voter) == Status::Alive && peer.outlier_vote.is_some_and(counts)
        });
        let own_vote = usize::from(id != self.local_id() && self.outlier() == Some(id));
        let votes = own_vote + votes_of_others.count();
        live >= MIN_VOTERS && votes * 2 > live
    }

    /// Ejects the member that a majority names, and readmits the one that it no longer names.
    pub(super) fn update_ejections(&mut self, now: Seconds, output: &mut MembershipOutput) {
        let ids: Vec<NodeId> = self.peers.keys().copied().collect();
        for id in ids {
            let ejected = self.has_majority_vote(id, now);
            let (Some(peer), Some(member)) = (self.peers.get_mut(&id), self.table.get(id)) else { continue };
            if peer.ejected == ejected {
                continue;
            }
            peer.ejected = ejected;
            let cause = if ejected { "a majority finds it slow" } else { "it acknowledges in time again" };
            output.changes.push(MemberChange {
                id,
                incarnation: member.incarnation,
                status: member.status,
                ejected,
                cause: cause.to_owned(),
            });
        }
    }
}
