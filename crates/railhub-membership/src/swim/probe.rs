//! Probes and suspicions: who is asked next, what an answer or its lack is worth, when a suspicion ends.
use super::*;

/// Others that are asked to probe.
const THROUGH: usize = 3;
/// Times that others are asked at the most; the second time it is asked directly again too. Where there is only one way to
/// it, one lost message in four must not be a suspicion.
const THROUGH_TIMES: u8 = 2;

impl Membership {
    pub(super) fn send_probe(
        &mut self,
        now: Seconds,
        to: NodeId,
        indirect: Option<IndirectProbe>,
        first: Vec<Member>,
        mail: &mut OutgoingMessage,
    ) {
        self.number += 1;
        let number = self.number;
        self.send(Destination::Node(to), number, Payload::Probe, first, mail);
        // Nobody else is asked for one that we probe for another.
        let through = if indirect.is_some() { THROUGH_TIMES } else { 0 };
        self.pending.push(PendingProbe { number, to, at: now, through, helpers: 0, helped: false, indirect });
    }

    /// A suspect is asked once more each time, and told what it is suspected of: on a net that loses messages its
    /// own word must have more than one way back.
    pub(super) fn warn_suspect(&mut self, now: Seconds, mail: &mut OutgoingMessage) {
        let suspects = self.table.others().filter(|entry| entry.status == Status::Suspect);
        let suspects: Vec<Member> = suspects.cloned().collect();
        if let Some(word) = suspects.choose(&mut self.chance).cloned() {
            self.send_probe(now, word.about, None, vec![word], mail);
        }
    }

    /// Each other that lives in turn, in an order that is shuffled anew each time: a dead one is met within two
    /// rounds.
    pub(super) fn next_target(&mut self) -> Option<NodeId> {
        loop {
            if self.order.is_empty() {
                self.order = self.living().collect();
                self.order.shuffle(&mut self.chance);
            }
            let id = self.order.pop()?;
            if self.status(id).is_live() {
                return Some(id);
            }
        }
    }

    /// Two halves of a split find each other again only if those held for dead are asked now and then; ever less
    /// often, since most of the dead are dead.
    pub(super) fn ask_a_dead(&mut self, now: Seconds, mail: &mut OutgoingMessage) {
        if self.table.lacks(Safeguard::DeadProbing) {
            return;
        }
        let dead = self.table.others().filter(|entry| entry.status == Status::Dead);
        let due = dead.filter_map(|entry| Some((self.peers.get(&entry.about)?.ask_at, entry.clone())));
        let first = due.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.about.cmp(&b.1.about)));
        let Some((_, word)) = first.filter(|(at, _)| *at <= now) else { return };
        let part = 0.8 + 0.4 * self.chance.random::<f64>();
        if let Some(peer) = self.peers.get_mut(&word.about) {
            peer.ask_span = (peer.ask_span * 2.0).min(ASK_DEAD_MOST);
            peer.ask_at = now + peer.ask_span * part;
        }
        self.send(Destination::Node(word.about), 0, Payload::Probe, vec![word], mail);
    }

    pub(super) fn end_probes(
        &mut self,
        now: Seconds,
        mail: &mut OutgoingMessage,
        changed: &mut Vec<MemberChange>,
    ) {
        self.ask_through_others(now, mail);
        let ends = PROBE_ENDS * self.patience();
        let is_over = |probe: &PendingProbe| {
            now - probe.at >= if probe.indirect.is_some() { PROBE_ENDS / 2.0 } else { ends }
        };
        let over: Vec<PendingProbe> = self.pending.iter().filter(|probe| is_over(probe)).cloned().collect();
        self.pending.retain(|probe| !is_over(probe));
        for probe in over {
            if let Some(IndirectProbe { asker, number, .. }) = probe.indirect {
                self.send(Destination::Node(asker), number, Payload::Nack(probe.to), Vec::new(), mail);
                continue;
            }
            if probe.helpers > 0 && !probe.helped {
                self.health.heard_nothing();
            }
            if let Some(peer) = self.peers.get_mut(&probe.to) {
                peer.answers.judge(now, true);
            }
            self.suspect(now, probe.to, probe.helpers, changed);
        }
    }

    pub(super) fn ask_through_others(&mut self, now: Seconds, mail: &mut OutgoingMessage) {
        let patience = self.patience();
        let ack_timeout = |id: &NodeId| {
            let answers = self.peers.get(id).map(|peer| peer.answers).unwrap_or_default();
            answers.ack_timeout(PROBE_ENDS / 2.0) * patience
        };
        let again_after = PROBE_ENDS / 2.0 * patience;
        let late = self.pending.iter().filter(|probe| match probe.through {
            0 => now - probe.at >= ack_timeout(&probe.to),
            1 => !probe.helped && now - probe.at >= again_after,
            _ => false,
        });
        let late: Vec<(u64, NodeId)> = late.map(|probe| (probe.number, probe.to)).collect();
        for (number, to) in late {
            let mut others: Vec<NodeId> =
                self.living().filter(|id| *id != to && self.status(*id) == Status::Alive).collect();
            others.shuffle(&mut self.chance);
            others.truncate(THROUGH);
            let mut again = false;
            if let Some(probe) = self.pending.iter_mut().find(|probe| probe.number == number) {
                again = probe.through > 0;
                (probe.through, probe.helpers) = (probe.through + 1, others.len());
            }
            let word = self.table.get(to).filter(|entry| entry.status == Status::Suspect).cloned();
            if again {
                // It may be the only one that we reach: one lost message must not be a suspicion there either.
                self.send(
                    Destination::Node(to),
                    number,
                    Payload::Probe,
                    word.iter().cloned().collect(),
                    mail,
                );
            }
            for other in others {
                let first = word.iter().cloned().collect();
                self.send(Destination::Node(other), number, Payload::IndirectProbe(to), first, mail);
            }
        }
    }

    pub(super) fn answered(
        &mut self,
        now: Seconds,
        from: NodeId,
        number: u64,
        mail: &mut OutgoingMessage,
        changed: &mut Vec<MemberChange>,
    ) {
        let Some(place) = self.pending.iter().position(|probe| probe.number == number && probe.to == from)
        else {
            return;
        };
        let probe = self.pending.remove(place);
        if let Some(IndirectProbe { asker, number, doubts }) = probe.indirect {
            // With what it says of itself: it may have refuted what the asker holds of it.
            let first = self.table.get(from).filter(|_| doubts).cloned().into_iter().collect();
            self.send(Destination::Node(asker), number, Payload::IndirectAck(from), first, mail);
            return;
        }
        let Some(peer) = self.peers.get_mut(&from) else { return };
        let was_late = now - probe.at > peer.answers.ack_timeout(PROBE_ENDS / 2.0);
        peer.answers.add(now, (now - probe.at).min(PROBE_ENDS));
        peer.answers.judge(now, was_late);
        if !was_late {
            self.health.did_well();
        }
        self.look_for_withdrawn(now, changed);
    }

    pub(super) fn suspect(
        &mut self,
        now: Seconds,
        about: NodeId,
        helpers: usize,
        changed: &mut Vec<MemberChange>,
    ) {
        let Some(entry) = self.table.get(about).filter(|entry| entry.status.is_live()) else { return };
        let word = Member { status: Status::Suspect, by: Some(self.me()), ..entry.clone() };
        let why = format!("it answered neither us nor {helpers} others that we asked to probe it");
        self.take_in(now, &word, &why, changed);
    }

    /// How long a suspicion stands: the more that accuse independently, the shorter; the worse we fare ourselves,
    /// the longer.
    pub(super) fn suspected_for(&self, peer: &Peer) -> Seconds {
        let alive = self.alive();
        let base = SUSPECTED_FOR * (alive as f64).ln().max(1.0);
        if self.table.lacks(Safeguard::LocalHealth) {
            return base;
        }
        let needed = ACCUSERS.min(alive.saturating_sub(2));
        let more = peer.accusers.len().saturating_sub(1).min(needed);
        let share = if needed == 0 { 0.5 } else { ((more + 1) as f64).ln() / ((needed + 1) as f64).ln() };
        let longest = base * ALONE_LONGER;
        (longest - (longest - base) * share) * self.patience()
    }

    pub(super) fn end_suspicions(&mut self, now: Seconds, changed: &mut Vec<MemberChange>) {
        let suspects = self.table.others().filter(|entry| entry.status == Status::Suspect);
        let over = suspects.filter(|entry| {
            let peer = self.peers.get(&entry.about);
            peer.is_some_and(|peer| now - peer.since >= self.suspected_for(peer))
        });
        for entry in over.cloned().collect::<Vec<_>>() {
            let accusers = self.peers.get(&entry.about).map(|peer| peer.accusers.clone()).unwrap_or_default();
            let accusers: Vec<String> = accusers.iter().map(|id| id.0.to_string()).collect();
            let why = format!("suspected by {}, and it said nothing", accusers.join(", "));
            let word = Member { status: Status::Dead, by: Some(self.me()), ..entry };
            self.take_in(now, &word, &why, changed);
        }
    }
}
