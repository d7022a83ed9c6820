//! Finding the fleet, and settling who bears our name in it.
use super::*;

/// Seconds in which a process of our name with a higher number must speak, or it is one of our past.
const CONFLICT_ENDS_AFTER: Seconds = 2.0;

impl Membership {
    /// While nobody is known to live, each address of the file is asked; else one of them now and then.
    pub(super) fn seek(&mut self, now: Seconds, mail: &mut OutgoingMessage) {
        // One that has just been left alone does not wait for the slow look that was due while others lived.
        if self.alive() == 1 {
            self.seek_at = self.seek_at.min(now + self.seek_span);
        }
        if now < self.seek_at || self.config.seeds.is_empty() {
            return;
        }
        let part = 0.7 + 0.6 * self.chance.random::<f64>();
        let known: BTreeSet<SocketAddr> = self.living().filter_map(|id| self.address(id)).collect();
        let own = self.table.me().metadata.address;
        let strange = |seed: &SocketAddr| !known.contains(seed) && Some(*seed) != own;
        let mut seeds: Vec<SocketAddr> = self.config.seeds.iter().copied().filter(strange).collect();
        if self.alive() > 1 {
            seeds = seeds.choose(&mut self.chance).copied().into_iter().collect();
            (self.seek_at, self.seek_span) = (now + self.slow_span * part, SEEK);
            self.slow_span = (self.slow_span * 2.0).min(SEEK_SLOWEST);
        } else {
            self.seek_at = now + self.seek_span * part;
            (self.seek_span, self.slow_span) = ((self.seek_span * 1.5).min(SEEK_MOST), SEEK_SLOWLY);
        }
        for seed in seeds {
            self.send(Destination::Address(seed), 0, Payload::Probe, Vec::new(), mail);
        }
    }

    /// A message under our own name. Ours come back by an address of the file that is our own; an older process is
    /// told that we follow it; a newer one is obeyed.
    pub(super) fn hear_own_name(
        &mut self,
        now: Seconds,
        message: &Message,
        mail: &mut OutgoingMessage,
        changed: &mut Vec<MemberChange>,
    ) {
        let (theirs, ours) = (message.from.incarnation.process, self.table.me().incarnation.process);
        if theirs < ours {
            if let Some(address) = message.from.metadata.address {
                self.send(Destination::Address(address), message.number, Payload::Ack, Vec::new(), mail);
            }
        }
        if theirs <= ours || self.table.lacks(Safeguard::ProcessOrder) {
            return;
        }
        self.superseded = true;
        self.wake(now);
        let me = self.table.me();
        let why = format!("process {theirs} lives under our name: ours, {ours}, takes no part any more");
        let (about, incarnation) = (me.about, me.incarnation);
        changed.push(MemberChange { about, incarnation, status: Status::Left, withdrawn: true, why });
    }

    /// A process of our name with a higher number is spoken of: either it lives, or a clock was set back since.
    pub(super) fn note_conflict(&mut self, now: Seconds, word: &Member) {
        if self.conflict.is_none_or(|conflict| conflict.process < word.incarnation.process) {
            let own = self.table.me().metadata.address;
            let address = word.metadata.address.filter(|address| Some(*address) != own);
            self.conflict = Some(IdentityConflict { process: word.incarnation.process, address, at: now });
        }
    }

    pub(super) fn probe_rival(&mut self, mail: &mut OutgoingMessage) {
        if let Some(address) = self.conflict.and_then(|conflict| conflict.address) {
            self.send(Destination::Address(address), 0, Payload::Probe, Vec::new(), mail);
        }
    }

    pub(super) fn end_conflict(&mut self, now: Seconds, changed: &mut Vec<MemberChange>) {
        let Some(IdentityConflict { process, at, .. }) =
            self.conflict.filter(|conflict| now - conflict.at >= CONFLICT_ENDS_AFTER)
        else {
            return;
        };
        self.conflict = None;
        self.table.adopt_process_above(process);
        let me = self.table.me().clone();
        let why = format!(
            "process {process} of ours is spoken of and silent since {:.1} s: we go above it",
            now - at
        );
        changed.push(MemberChange {
            about: me.about,
            incarnation: me.incarnation,
            status: me.status,
            withdrawn: false,
            why,
        });
        self.gossip.enqueue_front(me);
    }
}
