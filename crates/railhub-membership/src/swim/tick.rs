//! The periodic work of membership, driven by time alone.
use super::membership::{Membership, MembershipOutput};
use super::pending_probe::{PendingProbe, PROBE_TIMEOUT};
use crate::safeguard::Safeguard;
use crate::{NodeId, Seconds};

/// Seconds between two probes: SWIM's protocol period.
const PROBE_INTERVAL: Seconds = 0.2;
/// Shortest time in seconds between two ticks.
const MIN_TICK_INTERVAL: Seconds = 0.01;

impl Membership {
    /// When [`Membership::tick`] has to be called next.
    pub fn next_tick_at(&self) -> Seconds {
        let checks = self.pending.iter().map(PendingProbe::next_check_at);
        checks
            .fold(self.next_probe_at, f64::min)
            .min(self.last_tick_at + PROBE_INTERVAL)
            .max(self.last_tick_at + MIN_TICK_INTERVAL)
    }

    /// Does all work that is due: handles late and failed probes, expires suspicions and forgets members that are long
    /// gone. Once per probe interval it also probes a member, a suspect and a dead member, and sends join probes.
    pub fn tick(&mut self, now: Seconds) -> MembershipOutput {
        let mut output = MembershipOutput::default();
        if self.superseded {
            self.last_tick_at = now;
            self.next_probe_at = now + PROBE_INTERVAL;
            return output;
        }
        self.resume_after_pause(now);
        self.health.on_tick(now - self.last_tick_at - PROBE_INTERVAL);
        self.last_tick_at = now;
        self.process_pending_probes(now, &mut output);
        self.expire_suspicions(now, &mut output);
        self.update_ejections(now, &mut output);
        self.forget_gone_members(now);
        self.expire_identity_conflict(now, &mut output);
        if now >= self.next_probe_at {
            self.next_probe_at = now + PROBE_INTERVAL;
            if let Some(target) = self.next_probe_target() {
                self.send_probe(now, target, None, Vec::new(), &mut output);
            }
            self.probe_random_suspect(now, &mut output);
            self.probe_due_dead_member(now, &mut output);
            self.send_join_probes(now, &mut output);
            self.probe_conflicting_process(&mut output);
        }
        output
    }

    /// Detects that this node was paused or that its clock jumped. No conclusions may be drawn from such a time, so
    /// pending probes are dropped and all timers restart from `now`.
    pub(super) fn resume_after_pause(&mut self, now: Seconds) {
        let elapsed = now - self.last_tick_at;
        if (0.0..=PROBE_TIMEOUT).contains(&elapsed) {
            return;
        }
        if self.table.is_disabled(Safeguard::LocalHealth) && elapsed > 0.0 {
            return;
        }
        self.health.on_tick(elapsed.abs());
        self.pending.clear();
        for peer in self.peers.values_mut() {
            peer.resume(now);
        }
        let next_interval_at = now + PROBE_INTERVAL;
        self.last_tick_at = now;
        self.next_probe_at = self.next_probe_at.min(next_interval_at);
        self.next_sync_at = self.next_sync_at.min(next_interval_at);
        self.join.resume(now);
        if let Some(conflict) = &mut self.conflict {
            conflict.reported_at = conflict.reported_at.min(now);
        }
    }

    fn forget_gone_members(&mut self, now: Seconds) {
        let is_forgettable = |id: &NodeId| match self.peers.get(id) {
            Some(peer) => now - peer.status_since > self.config.forget_after,
            None => true,
        };
        let gone = self.table.others().filter(|member| !member.status.is_live()).map(|member| member.id);
        let forgotten: Vec<NodeId> = gone.filter(is_forgettable).collect();
        for id in forgotten {
            self.table.forget(id);
            self.gossip.remove(id);
            self.peers.remove(&id);
        }
    }
}
