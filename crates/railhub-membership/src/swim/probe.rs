//! Probes: the choice of targets, indirect probes through helpers, acknowledgements and nacks (SWIM, section 4;
//! Lifeguard's nack).
use super::membership::{Membership, MembershipOutput};
use super::pending_probe::{PendingProbe, ProbeRequester, ProbeStage, MAX_ACK_TIMEOUT, PROBE_TIMEOUT};
use crate::member::{Member, Status};
use crate::messages::{Destination, Message, Payload};
use crate::safeguard::Safeguard;
use crate::{NodeId, Seconds};
use rand::seq::{IndexedRandom, SliceRandom};
use rand::RngExt;

/// Number of helpers that make an indirect probe of one target (SWIM's k).
const INDIRECT_PROBE_HELPERS: usize = 3;
/// Number of pending probes at which no more are made on behalf of other nodes.
pub(super) const MAX_PENDING_PROBES: usize = 64;
/// Smallest random factor on the time to the next probe of a dead member.
const DEAD_PROBE_JITTER_MIN: f64 = 0.8;
/// Width of the range from which that factor is drawn.
const DEAD_PROBE_JITTER_RANGE: f64 = 0.4;

impl Membership {
    /// Probes a node, for this node or on behalf of another. `entries` are sent with the probe.
    pub(super) fn send_probe(
        &mut self,
        now: Seconds,
        target: NodeId,
        on_behalf_of: Option<ProbeRequester>,
        entries: Vec<Member>,
        output: &mut MembershipOutput,
    ) {
        self.last_probe_number += 1;
        let number = self.last_probe_number;
        self.send(Destination::Node(target), number, Payload::Probe, entries, output);
        let stage = match on_behalf_of {
            Some(_) => ProbeStage::Exhausted,
            None => ProbeStage::Direct,
        };
        self.pending.push(PendingProbe {
            number,
            target,
            sent_at: now,
            stage,
            helpers: 0,
            nack_received: false,
            on_behalf_of,
        });
    }

    /// The next live member of a round-robin order that is shuffled for each round, so that each member is probed
    /// within two rounds (SWIM, section 4.3).
    pub(super) fn next_probe_target(&mut self) -> Option<NodeId> {
        loop {
            if self.probe_order.is_empty() {
                self.probe_order = self.live_peers().collect();
                self.probe_order.shuffle(&mut self.rng);
            }
            let id = self.probe_order.pop()?;
            if self.status(id).is_live() {
                return Some(id);
            }
        }
    }

    /// Probes one suspect and sends it the suspicion, so that its refutation can return by several paths if messages
    /// are lost.
    pub(super) fn probe_random_suspect(&mut self, now: Seconds, output: &mut MembershipOutput) {
        let suspects = self.table.others().filter(|member| member.status == Status::Suspect);
        let suspects: Vec<Member> = suspects.cloned().collect();
        if let Some(suspect) = suspects.choose(&mut self.rng).cloned() {
            self.send_probe(now, suspect.id, None, vec![suspect], output);
        }
    }

    /// Probes the dead member that is due, if there is one, so that the sides of a healed partition find each other.
    /// The rate falls over time, since most dead members stay dead.
    pub(super) fn probe_due_dead_member(&mut self, now: Seconds, output: &mut MembershipOutput) {
        if self.table.is_disabled(Safeguard::DeadProbing) {
            return;
        }
        let Some(dead) = self.due_dead_member(now) else { return };
        let jitter = DEAD_PROBE_JITTER_MIN + DEAD_PROBE_JITTER_RANGE * self.rng.random::<f64>();
        if let Some(peer) = self.peers.get_mut(&dead.id) {
            peer.schedule_dead_probe(now, jitter);
        }
        self.send(Destination::Node(dead.id), 0, Payload::Probe, vec![dead], output);
    }

    fn due_dead_member(&self, now: Seconds) -> Option<Member> {
        let dead = self.table.others().filter(|member| member.status == Status::Dead);
        let scheduled = dead.filter_map(|member| Some((self.peers.get(&member.id)?.dead_probe_at, member)));
        let first = scheduled.min_by(|(a_at, a), (b_at, b)| a_at.total_cmp(b_at).then(a.id.cmp(&b.id)));
        first.filter(|(due_at, _)| *due_at <= now).map(|(_, member)| member.clone())
    }

    /// Requests indirect probes of targets whose acknowledgements are late, and suspects the targets of failed probes.
    /// For a probe that failed on behalf of another node, sends that node a nack.
    pub(super) fn process_pending_probes(&mut self, now: Seconds, output: &mut MembershipOutput) {
        self.escalate_late_probes(now, output);
        let multiplier = self.health_multiplier();
        let pending = std::mem::take(&mut self.pending);
        let (failed, pending) = pending.into_iter().partition(|probe| probe.has_timed_out(now, multiplier));
        self.pending = pending;
        for probe in failed {
            self.on_probe_failed(now, &probe, output);
        }
    }

    fn on_probe_failed(&mut self, now: Seconds, probe: &PendingProbe, output: &mut MembershipOutput) {
        if let Some(requester) = probe.on_behalf_of {
            let nack = Payload::Nack(probe.target);
            self.send(Destination::Node(requester.id), requester.probe_number, nack, Vec::new(), output);
            return;
        }
        if probe.helpers > 0 && !probe.nack_received {
            self.health.on_missed_nack();
        }
        if let Some(peer) = self.peers.get_mut(&probe.target) {
            peer.probe_score.record_outcome(now, true);
        }
        self.suspect(now, probe.target, probe.helpers, output);
    }

    fn escalate_late_probes(&mut self, now: Seconds, output: &mut MembershipOutput) {
        let multiplier = self.health_multiplier();
        let is_late = |probe: &&PendingProbe| {
            let score = self.peers.get(&probe.target).map(|peer| peer.probe_score).unwrap_or_default();
            probe.needs_helpers(now, score.ack_timeout(MAX_ACK_TIMEOUT) * multiplier, multiplier)
        };
        let late: Vec<PendingProbe> = self.pending.iter().filter(is_late).cloned().collect();
        for probe in late {
            self.send_indirect_probes(&probe, output);
        }
    }

    fn send_indirect_probes(&mut self, probe: &PendingProbe, output: &mut MembershipOutput) {
        let PendingProbe { number, target, stage, .. } = *probe;
        let mut helpers: Vec<NodeId> =
            self.live_peers().filter(|id| *id != target && self.status(*id) == Status::Alive).collect();
        helpers.shuffle(&mut self.rng);
        helpers.truncate(INDIRECT_PROBE_HELPERS);
        if let Some(pending) = self.pending.iter_mut().find(|pending| pending.number == number) {
            pending.escalate(helpers.len());
        }
        let suspect = self.table.get(target).filter(|member| member.status == Status::Suspect);
        let entries: Vec<Member> = suspect.cloned().into_iter().collect();
        if stage != ProbeStage::Direct {
            // This node may be the only one that reaches the target, and one lost message must not make the target
            // suspect.
            self.send(Destination::Node(target), number, Payload::Probe, entries.clone(), output);
        }
        for helper in helpers {
            let request = Payload::IndirectProbe(target);
            self.send(Destination::Node(helper), number, request, entries.clone(), output);
        }
    }

    /// Acknowledges a probe. A sender that is not alive in this node's view is sent its entry, so that it can refute
    /// it.
    pub(super) fn on_probe(&mut self, message: &Message, output: &mut MembershipOutput) {
        let sender = &message.sender;
        let adverse_entry = self
            .table
            .get(sender.id)
            .filter(|known| known.status != Status::Alive && known.incarnation == sender.incarnation);
        let entries = adverse_entry.cloned().into_iter().collect();
        self.send(Destination::Node(sender.id), message.probe_number, Payload::Ack, entries, output);
    }

    /// Probes a node on behalf of another. A suspect is sent the suspicion, since its refutation may have no other path
    /// back.
    pub(super) fn on_indirect_probe(
        &mut self,
        now: Seconds,
        message: &Message,
        target: NodeId,
        output: &mut MembershipOutput,
    ) {
        if !self.peers.contains_key(&target) || self.pending.len() >= MAX_PENDING_PROBES {
            return;
        }
        let suspect = self.table.get(target).filter(|member| member.status == Status::Suspect);
        let entries = suspect.cloned().into_iter().collect();
        let requester = ProbeRequester {
            id: message.sender.id,
            probe_number: message.probe_number,
            suspects_target: message.gossip.iter().any(|update| update.id == target),
        };
        self.send_probe(now, target, Some(requester), entries, output);
    }

    /// Handles the acknowledgement of a probe. If the probe was made on behalf of another node, reports it to that
    /// node.
    pub(super) fn on_ack(
        &mut self,
        now: Seconds,
        sender: NodeId,
        probe_number: u64,
        output: &mut MembershipOutput,
    ) {
        let Some(probe) = self.take_pending(probe_number, sender) else { return };
        if let Some(requester) = probe.on_behalf_of {
            // The target may have refuted the requester's suspicion, so its entry is sent along.
            let target = self.table.get(sender).filter(|_| requester.suspects_target);
            let entries = target.cloned().into_iter().collect();
            let ack = Payload::IndirectAck(sender);
            self.send(Destination::Node(requester.id), requester.probe_number, ack, entries, output);
            return;
        }
        let Some(peer) = self.peers.get_mut(&sender) else { return };
        let round_trip = now - probe.sent_at;
        let is_late = round_trip > peer.probe_score.ack_timeout(MAX_ACK_TIMEOUT);
        peer.probe_score.record_round_trip(now, round_trip.min(PROBE_TIMEOUT));
        peer.probe_score.record_outcome(now, is_late);
        if !is_late {
            self.health.on_probe_success();
        }
        self.update_ejections(now, output);
    }

    /// Handles an indirect acknowledgement: the target is alive, but it did not acknowledge the direct probe in time.
    pub(super) fn on_indirect_ack(&mut self, now: Seconds, target: NodeId, probe_number: u64) {
        if self.take_pending(probe_number, target).is_none() {
            return;
        }
        self.health.on_probe_success();
        if let Some(peer) = self.peers.get_mut(&target) {
            peer.probe_score.record_outcome(now, true);
        }
    }

    /// Handles a nack: the helper is reachable, but has not reached the target either.
    pub(super) fn on_nack(&mut self, target: NodeId, probe_number: u64) {
        let probe =
            self.pending.iter_mut().find(|probe| probe.number == probe_number && probe.target == target);
        if let Some(probe) = probe {
            probe.nack_received = true;
        }
    }

    fn take_pending(&mut self, number: u64, target: NodeId) -> Option<PendingProbe> {
        let index = self.pending.iter().position(|probe| probe.number == number && probe.target == target)?;
        Some(self.pending.remove(index))
    }
}
