//! A *slow* steward answers, so no suspicion gets to its end: late and missing answers are scored ([`crate::probe_score`]). Each
//! steward names the one that stands out, and one that most of the others name is withdrawn: it lives, and bears no slices.
//! Each names one at the most, so at most one can be named by most.
use super::*;

/// Seconds that another's word on who stands out counts.
const NAMED_FOR: Seconds = 5.0;

impl Membership {
    /// The one of those that live whose score stands out, if one does.
    pub(super) fn outlier(&self) -> Option<NodeId> {
        let alive = self.table.others().filter(|entry| entry.status == Status::Alive);
        let score = |id: NodeId| self.peers.get(&id).map_or(0.0, |peer| peer.answers.score);
        let mut scores: Vec<(f64, NodeId)> = alive.map(|entry| (score(entry.about), entry.about)).collect();
        scores.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let next = scores.get(1).map_or(0.0, |score| score.0);
        scores.first().filter(|worst| worst.0 > next + GAP).map(|worst| worst.1)
    }

    /// Most of those that live name it. Two cannot judge each other: with fewer than three nobody is withdrawn.
    pub(super) fn is_named(&self, id: NodeId, now: Seconds) -> bool {
        let alive = self.alive();
        let fresh = |named: &(&NodeId, &Peer)| {
            self.status(*named.0) == Status::Alive
                && named.1.names.is_some_and(|(named, at)| named == id && now - at <= NAMED_FOR)
        };
        let ours = usize::from(id != self.me() && self.outlier() == Some(id));
        let names = ours + self.peers.iter().filter(fresh).count();
        alive >= 3 && names * 2 > alive
    }

    pub(super) fn look_for_withdrawn(&mut self, now: Seconds, changed: &mut Vec<MemberChange>) {
        let ids: Vec<NodeId> = self.peers.keys().copied().collect();
        for id in ids {
            let named = self.is_named(id, now);
            let (Some(peer), Some(entry)) = (self.peers.get_mut(&id), self.table.get(id)) else { continue };
            if peer.withdrawn != named {
                peer.withdrawn = named;
                let why = if named { "most others find it late" } else { "it answers in time again" };
                let (incarnation, status) = (entry.incarnation, entry.status);
                changed.push(MemberChange {
                    about: id,
                    incarnation,
                    status,
                    withdrawn: named,
                    why: why.into(),
                });
            }
        }
    }
}
