//! Ejection of slow members. A slow member acknowledges probes, so no suspicion of it ends in its death. Instead, each
//! node votes for the one member whose probe score is an outlier. A member with the votes of a majority is ejected: it
//! stays alive and holds no slices. Since each node has at most one vote, at most one member is ejected at a time.
use super::membership::{Membership, MembershipOutput};
use super::peer::OutlierVote;
use crate::member::Status;
use crate::messages::MemberChange;
use crate::probe_score::OUTLIER_SCORE_GAP;
use crate::{NodeId, Seconds};

/// Seconds for which another node's vote counts.
const VOTE_LIFETIME: Seconds = 5.0;
/// Fewest live members with which one is ejected: of two, neither can tell which one is slow.
const MIN_VOTERS: usize = 3;

impl Membership {
    /// The alive member whose probe score is an outlier, if there is one.
    pub(super) fn outlier(&self) -> Option<NodeId> {
        let alive = self.table.others().filter(|member| member.status == Status::Alive);
        let score = |id: NodeId| self.peers.get(&id).map_or(0.0, |peer| peer.probe_score.score());
        let mut scores: Vec<(f64, NodeId)> = alive.map(|member| (score(member.id), member.id)).collect();
        scores.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let (worst_score, worst) = *scores.first()?;
        let next_score = scores.get(1).map_or(0.0, |next| next.0);
        (worst_score > next_score + OUTLIER_SCORE_GAP).then_some(worst)
    }

    /// Whether a majority of the live members votes for this one as the outlier.
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

    /// Ejects the member with the votes of a majority, and readmits a member that no longer has them.
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
