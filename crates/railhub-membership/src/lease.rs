//! What a steward holds. The store grants a slice with an epoch for a span of time; the steward counts the span
//! from before it asked, on its own clock, and takes off what its clock may run slow. So it has stopped before
//! the store may grant the slice to another, as long as its clock keeps within the bound; past that, the epoch in
//! each order keeps it from doing harm.
use crate::{Epoch, Seconds};
use std::collections::BTreeMap;

/// Share of a span that clocks may run apart, and some for the way.
const DRIFT: f64 = 0.1;
/// Share of what is left of a lease at which it is renewed: three tries fit in before it ends.
const RENEW_AT: f64 = 0.6;

/// One slice that was granted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grant {
    pub epoch: Epoch,
    /// On this steward's clock: nothing is ordered from then on.
    until: Seconds,
}

/// All that a steward holds.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    span: Seconds,
    grants: BTreeMap<u16, Grant>,
    renewed: Seconds,
}

impl Leases {
    /// `span`: seconds that the store grants a slice for.
    pub fn new(span: Seconds) -> Leases {
        Leases { span, ..Leases::default() }
    }

    pub fn span(&self) -> Seconds {
        self.span
    }

    /// The store said yes to a question that was asked at `asked`. An answer that came too late holds nothing.
    pub fn granted(&mut self, now: Seconds, asked: Seconds, slices: &[(u16, Epoch)]) {
        let until = asked + self.span * (1.0 - DRIFT);
        self.renewed = self.renewed.max(asked);
        for (slice, epoch) in slices.iter().filter(|_| until > now) {
            let known = self.grants.get(slice).copied();
            // Answers may come out of order: an older epoch says nothing.
            if known.is_none_or(|known| known.epoch <= *epoch) {
                let until =
                    known.filter(|known| known.epoch == *epoch).map_or(until, |known| known.until.max(until));
                self.grants.insert(*slice, Grant { epoch: *epoch, until });
            }
        }
    }

    /// The store said that these are not ours.
    pub fn refused(&mut self, slices: &[u16]) {
        slices.iter().for_each(|slice| _ = self.grants.remove(slice));
    }

    /// We give it up: from now on nothing is ordered for it.
    pub fn give_up(&mut self, slice: u16) -> Option<Epoch> {
        self.grants.remove(&slice).map(|grant| grant.epoch)
    }

    /// Takes out the slices whose time is over.
    pub fn lapse(&mut self, now: Seconds) -> Vec<u16> {
        let over: Vec<u16> =
            self.grants.iter().filter(|(_, grant)| grant.until <= now).map(|(s, _)| *s).collect();
        over.iter().for_each(|slice| _ = self.grants.remove(slice));
        over
    }

    /// The epoch under which a slice may be ordered at this moment, if it may be.
    pub fn may_order(&self, now: Seconds, slice: u16) -> Option<Epoch> {
        self.grants.get(&slice).filter(|grant| now < grant.until).map(|grant| grant.epoch)
    }

    pub fn held(&self) -> impl Iterator<Item = (u16, Epoch)> + '_ {
        self.grants.iter().map(|(slice, grant)| (*slice, grant.epoch))
    }

    pub fn count(&self) -> usize {
        self.grants.len()
    }

    /// When the leases should be renewed next, on this steward's clock.
    pub fn renew_at(&self) -> Seconds {
        self.renewed + self.span * (1.0 - DRIFT) * (1.0 - RENEW_AT)
    }

    /// When the first of them ends, if any is held.
    pub fn first_end(&self) -> Option<Seconds> {
        self.grants.values().map(|grant| grant.until).min_by(Seconds::total_cmp)
    }
}

/// What a proxy or a host keeps of a slice, so that no order of a former steward is obeyed: fencing.
#[derive(Clone, Debug, Default)]
pub struct Fence {
    newest: BTreeMap<u32, Epoch>,
}

impl Fence {
    /// Whether an order under this epoch may be obeyed; a newer one shuts out those before.
    pub fn passes(&mut self, slice: u32, epoch: Epoch) -> bool {
        let newest = self.newest.entry(slice).or_default();
        *newest = (*newest).max(epoch);
        *newest == epoch
    }

    pub fn newest(&self, slice: u32) -> Epoch {
        self.newest.get(&slice).copied().unwrap_or_default()
    }
}

/// The store's side of a slice: who holds it, until when on the store's clock. Linearisable as long as one store
/// changes it at a time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Holding {
    pub epoch: Epoch,
    /// The process that holds it: a steward that starts again is another one.
    pub holder: Option<u64>,
    pub until: Seconds,
}

impl Holding {
    pub fn is_held(&self, now: Seconds) -> bool {
        self.holder.is_some() && now < self.until
    }

    /// Grants or renews it; `None`: another holds it.
    pub fn ask(&mut self, now: Seconds, process: u64, span: Seconds) -> Option<Epoch> {
        let is_ours = self.holder == Some(process);
        if self.is_held(now) && !is_ours {
            return None;
        }
        // A lease of ours that lapsed unseen by others is renewed as it was: nobody else was granted it.
        if !is_ours {
            self.epoch.0 += 1;
        }
        (self.holder, self.until) = (Some(process), now + span);
        Some(self.epoch)
    }

    /// Free for anyone from now on, if it is the asker's.
    pub fn release(&mut self, process: u64, epoch: Epoch) -> bool {
        let is_ours = self.holder == Some(process) && self.epoch == epoch;
        if is_ours {
            self.holder = None;
        }
        is_ours
    }

    /// Whether a table that comes under this epoch may be written.
    pub fn may_write(&self, epoch: Epoch) -> bool {
        epoch == self.epoch
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn a_grant_ends_before_the_stores_does_even_if_the_clock_runs_slow() {
        let mut leases = Leases::new(3.0);
        leases.granted(10.2, 10.0, &[(4, Epoch(2))]);
        assert_eq!(leases.may_order(12.6, 4), Some(Epoch(2)));
        assert_eq!(leases.may_order(12.7, 4), None);
        // The store counted 3 s from after 10.0: on a clock 5 % faster than ours those are 2.857 of our seconds.
        assert_eq!(leases.lapse(12.8), [4]);
        assert_eq!(leases.count(), 0);
    }

    #[test]
    fn an_answer_that_comes_too_late_holds_nothing() {
        let mut leases = Leases::new(3.0);
        leases.granted(13.0, 10.0, &[(4, Epoch(2))]);
        assert_eq!(leases.count(), 0);
    }

    #[test]
    fn answers_out_of_order_do_not_bring_an_old_epoch_back() {
        let mut leases = Leases::new(3.0);
        leases.granted(1.0, 0.9, &[(4, Epoch(5))]);
        leases.granted(1.1, 0.5, &[(4, Epoch(3))]);
        assert_eq!(leases.may_order(1.2, 4), Some(Epoch(5)));
    }

    #[test]
    fn the_store_grants_a_slice_to_one_at_a_time_and_counts_epochs() {
        let mut holding = Holding::default();
        assert_eq!(holding.ask(0.0, 1, 3.0), Some(Epoch(1)));
        assert_eq!(holding.ask(1.0, 2, 3.0), None);
        assert_eq!(holding.ask(2.0, 1, 3.0), Some(Epoch(1)));
        assert_eq!(holding.ask(5.5, 2, 3.0), Some(Epoch(2)));
        assert!(!holding.may_write(Epoch(1)) && holding.may_write(Epoch(2)));
        assert!(!holding.release(1, Epoch(1)) && holding.release(2, Epoch(2)));
        assert_eq!(holding.ask(5.6, 1, 3.0), Some(Epoch(3)));
    }

    #[test]
    fn a_fence_lets_through_the_newest_alone() {
        let mut fence = Fence::default();
        assert!(fence.passes(1, Epoch(1)) && fence.passes(1, Epoch(2)) && fence.passes(1, Epoch(2)));
        assert!(!fence.passes(1, Epoch(1)));
        assert!(fence.passes(2, Epoch(1)));
    }

    proptest! {
        /// Two stewards with clocks up to 5 % apart ask at any moments; answers take any time. At no moment may
        /// both order the slice, and the one that may has the newer epoch.
        #[test]
        fn no_two_may_order_a_slice_at_once(
            steps in prop::collection::vec((0.0..1.0f64, 0..2usize, 0.0..2.0f64), 1..120),
            speeds in (0.95..1.05f64, 0.95..1.05f64),
        ) {
            let speeds = [speeds.0, speeds.1];
            let mut holding = Holding::default();
            let mut leases = [Leases::new(3.0), Leases::new(3.0)];
            let mut under_way: Vec<(f64, usize, f64, Epoch)> = Vec::new();
            let mut now = 0.0;
            for (pause, who, way) in steps {
                now += pause;
                let asked = now * speeds[who];
                if let Some(epoch) = holding.ask(now + way / 2.0, who as u64, 3.0) {
                    under_way.push((now + way, who, asked, epoch));
                }
                // The question was heard later than any that comes next is asked: the store hears in order.
                now += way / 2.0;
                under_way.retain(|(at, who, asked, epoch)| {
                    if *at <= now {
                        leases[*who].granted(now * speeds[*who], *asked, &[(1, *epoch)]);
                    }
                    *at > now
                });
                let may: Vec<_> = (0..2).filter_map(|n| leases[n].may_order(now * speeds[n], 1)).collect();
                prop_assert!(may.len() <= 1, "both at {now}: {may:?}");
                prop_assert!(may.iter().all(|epoch| *epoch == holding.epoch));
            }
        }
    }
}
