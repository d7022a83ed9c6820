//! Applying member entries from any source, and gossiping those that changed the table.
use super::membership::{Membership, MembershipOutput};
use super::peer::Peer;
use crate::member::{Member, Status};
use crate::messages::MemberChange;
use crate::safeguard::Safeguard;
use crate::table::MergeOutcome;
use crate::Seconds;

/// Seconds after a member's own message during which other nodes' reports that it is dead only make it suspect.
const RECENTLY_SEEN_WINDOW: Seconds = 1.0;

impl Membership {
    /// Applies one entry. `cause` is reported in the resulting change, if there is one.
    pub(super) fn apply_update(
        &mut self,
        now: Seconds,
        update: &Member,
        cause: &str,
        output: &mut MembershipOutput,
    ) -> MergeOutcome {
        let recently_seen = self.is_recently_seen(now, update);
        let outcome = self.table.merge(update, recently_seen);
        match &outcome {
            MergeOutcome::Updated { previous, metadata_changed } => {
                self.on_updated(now, update, *previous, *metadata_changed, cause, output);
            }
            MergeOutcome::Refuted => self.on_refuted(),
            MergeOutcome::IdentityConflict => self.record_identity_conflict(now, update),
            MergeOutcome::TableFull => self.rejected_entries += 1,
            MergeOutcome::Unchanged => self.on_unchanged(update),
            MergeOutcome::Stale => {}
        }
        outcome
    }

    fn is_recently_seen(&self, now: Seconds, update: &Member) -> bool {
        if self.table.is_disabled(Safeguard::LocalHealth) || update.reported_by == Some(self.local_id()) {
            return false;
        }
        self.peers.get(&update.id).is_some_and(|peer| now - peer.last_seen_at < RECENTLY_SEEN_WINDOW)
    }

    fn on_updated(
        &mut self,
        now: Seconds,
        update: &Member,
        previous: Option<Status>,
        metadata_changed: bool,
        cause: &str,
        output: &mut MembershipOutput,
    ) {
        let Some(member) = self.table.get(update.id).cloned() else { return };
        let peer = self.peers.entry(update.id).or_insert_with(|| Peer::new(now));
        let status_changed = previous != Some(member.status);
        let was_gone = previous.is_some_and(|previous| !previous.is_live());
        if was_gone && member.status == Status::Alive {
            peer.probe_score.reset();
        }
        if status_changed {
            peer.on_status_change(now);
        }
        if metadata_changed || member.status == Status::Alive {
            peer.suspected_by.clear();
        }
        if member.status == Status::Suspect {
            peer.suspected_by.extend(update.reported_by);
        }
        if status_changed || metadata_changed {
            output.changes.push(MemberChange {
                id: member.id,
                incarnation: member.incarnation,
                status: member.status,
                ejected: peer.ejected,
                cause: cause.to_owned(),
            });
        }
        self.gossip.enqueue(member);
    }

    /// Handles an entry that changed nothing. If the member has refuted it, its sender may not have received the
    /// refutation, so that is gossiped again. Otherwise the entry may be a further confirmation of a suspicion.
    fn on_unchanged(&mut self, update: &Member) {
        let Some(known) = self.table.get(update.id) else { return };
        let is_refuted = known.incarnation > update.incarnation
            && known.status == Status::Alive
            && update.status != Status::Alive;
        if is_refuted {
            let refutation = known.clone();
            self.gossip.enqueue_front(refutation);
        } else {
            self.count_confirmation(update);
        }
    }
}
