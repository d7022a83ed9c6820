//! What waits for one proxy: at most one delta to be written and a few in flight. When the proxy does not
//! read, all that comes is folded into the one that waits, so its size is bounded by what there is to say.
//! Free of I/O and of clocks.
use crate::tables::Change;
use railhub::{MarkId, Seconds};
use railhub_proto::{frame, from_steward, FromSteward};
use std::collections::VecDeque;
use std::sync::Arc;

/// Deltas written and not confirmed at once: past it they fold, so that a slow proxy gets few large ones.
const IN_FLIGHT: usize = 4;
/// Part of the cap that messages may use which only shift weights: hosts that must be left do not wait for them.
const ORDINARY_PART: f64 = 0.5;
/// Seconds on top of the cap's span: a message that leaves late by so much must not meet one that does not.
const CAP_SLACK: Seconds = 0.2;

/// A change with its version, encoded once for all proxies that get it as it is.
#[derive(Debug)]
pub struct Publication {
    pub change: Arc<Change>,
    pub incarnation: u64,
    pub version: u64,
    pub ordered_at: Seconds,
    pub mark: Option<MarkId>,
    pub bytes: Vec<u8>,
}

impl Publication {
    pub fn new(
        change: impl Into<Arc<Change>>,
        incarnation: u64,
        version: u64,
        ordered_at: Seconds,
        mark: Option<MarkId>,
    ) -> Publication {
        let change = change.into();
        let delta = change.to_delta(incarnation, version, ordered_at);
        let bytes = frame(&FromSteward { word: Some(from_steward::Word::Delta(delta)) });
        Publication { change, incarnation, version, ordered_at, mark, bytes }
    }

    /// This and then a later one, as one that was ordered when the older one was.
    fn then(&self, later: &Publication) -> Publication {
        let mut change = Change::clone(&self.change);
        change.fold(&later.change);
        let (version, mark) = (later.version, later.mark.or(self.mark));
        Publication::new(change, later.incarnation, version, self.ordered_at, mark)
    }
}

struct Sent {
    publication: Arc<Publication>,
    at: Seconds,
}

/// How many messages a proxy may get within a span; 0: as many as there are.
#[derive(Clone, Copy, Debug, Default)]
pub struct MessageCap {
    pub most: u32,
    pub span: Seconds,
}

/// What a writer is to do next.
#[derive(Debug)]
pub enum Next {
    Write(Arc<Publication>),
    /// The cap lets the next message leave then; until then what comes is folded.
    WaitUntil(Seconds),
    Nothing,
}

#[derive(Default)]
pub struct Outbox {
    cap: MessageCap,
    /// When the latest messages left, as many as the cap looks at.
    left_at: VecDeque<Seconds>,
    waiting: Option<Arc<Publication>>,
    in_flight: VecDeque<Sent>,
    /// What the proxy refused: it goes along with the next change, not by itself.
    held: Option<Change>,
    pub folded: u64,
    pub refused: u64,
}

impl Outbox {
    pub fn new(cap: MessageCap) -> Outbox {
        Outbox { cap, ..Outbox::default() }
    }

    pub fn push(&mut self, publication: Arc<Publication>) {
        let publication = match self.held.take() {
            None => publication,
            Some(mut held) => {
                held.fold(&publication.change);
                let Publication { incarnation, version, ordered_at, mark, .. } = *publication;
                Arc::new(Publication::new(held, incarnation, version, ordered_at, mark))
            }
        };
        self.waiting = Some(match self.waiting.take() {
            None => publication,
            Some(waiting) => {
                self.folded += 1;
                Arc::new(waiting.then(&publication))
            }
        });
    }

    /// What to write next, if the proxy has confirmed enough of what went before and the cap allows it.
    pub fn take(&mut self, now: Seconds) -> Next {
        if self.in_flight.len() >= IN_FLIGHT {
            return Next::Nothing;
        }
        // The same sum as told below: a writer that waits until then finds the message gone.
        while self.left_at.front().is_some_and(|at| at + self.cap.span + CAP_SLACK <= now) {
            self.left_at.pop_front();
        }
        let Some(publication) = self.waiting.take() else { return Next::Nothing };
        let most = match publication.change.is_urgent() {
            true => self.cap.most as usize,
            false => (f64::from(self.cap.most) * ORDINARY_PART).ceil() as usize,
        };
        if self.cap.most > 0 && self.left_at.len() >= most {
            self.waiting = Some(publication);
            return Next::WaitUntil(self.left_at[self.left_at.len() - most] + self.cap.span + CAP_SLACK);
        }
        if self.cap.most > 0 {
            self.left_at.push_back(now);
        }
        self.in_flight.push_back(Sent { publication: publication.clone(), at: now });
        Next::Write(publication)
    }

    /// The proxy has taken in the delta of this nonce, and so all before it; the latest mark among them.
    /// `None` for a nonce that is not in flight: an old word, which changes nothing.
    pub fn confirm(&mut self, nonce: u64) -> Option<Option<MarkId>> {
        let place = self.in_flight.iter().position(|sent| sent.publication.version == nonce)?;
        let confirmed = self.in_flight.drain(..=place);
        Some(confirmed.filter_map(|sent| sent.publication.mark).next_back())
    }

    /// The proxy keeps what it had. What it refused is held back until there is something new to say, less
    /// what it is being told by later deltas.
    pub fn refuse(&mut self, nonce: u64) -> Option<Option<MarkId>> {
        let place = self.in_flight.iter().position(|sent| sent.publication.version == nonce)?;
        let sent = self.in_flight.remove(place).expect("found above");
        let mut held = self.held.take().unwrap_or_default();
        held.fold(&sent.publication.change);
        self.in_flight.iter().skip(place).for_each(|later| held.without(&later.publication.change));
        self.refused += 1;
        if let Some(waiting) = self.waiting.take() {
            self.held = Some(held);
            self.push(waiting);
        } else if !held.is_empty() {
            self.held = Some(held);
        }
        Some(sent.publication.mark)
    }

    /// Lines that wait or travel, those of the messages themselves included.
    pub fn lines(&self, message_cost: f64) -> f64 {
        let travelling = self.in_flight.iter().map(|sent| &sent.publication);
        travelling.chain(&self.waiting).map(|p| p.change.cost() as f64 + message_cost).sum()
    }

    /// Something waits that may leave once a word has come.
    pub fn has_waiting(&self) -> bool {
        self.waiting.is_some()
    }

    pub fn is_idle(&self) -> bool {
        self.waiting.is_none() && self.in_flight.is_empty()
    }

    /// Since when the proxy owes a word.
    pub fn owing_since(&self) -> Option<Seconds> {
        self.in_flight.front().map(|sent| sent.at)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use railhub::{ClassId, HostId, SecondTry, SliceId};

    fn take(outbox: &mut Outbox, now: Seconds) -> Option<Arc<Publication>> {
        match outbox.take(now) {
            Next::Write(publication) => Some(publication),
            Next::WaitUntil(_) | Next::Nothing => None,
        }
    }

    fn line(version: u64, slice: u16, weight: f64) -> Arc<Publication> {
        let host = HostId::new("127.0.0.1:8000").expect("a name");
        let change = Change { lines: [((SliceId(slice), host), weight)].into(), ..Change::default() };
        Arc::new(Publication::new(change, 1, version, version as f64, Some(MarkId(version as u16))))
    }

    #[test]
    fn a_proxy_that_does_not_read_has_one_delta_waiting_of_bounded_size() {
        let mut outbox = Outbox::default();
        for version in 1..=1000 {
            outbox.push(line(version, version as u16 % 7, version as f64));
            let _ = take(&mut outbox, 0.0);
        }
        assert_eq!(outbox.lines(0.0), 4.0 + 7.0, "four in flight, the rest folded");
        assert_eq!(outbox.confirm(4), Some(Some(MarkId(4))));
        let last = take(&mut outbox, 0.0).expect("waiting");
        assert_eq!((last.version, last.ordered_at, last.mark), (1000, 5.0, Some(MarkId(1000))));
    }

    #[test]
    fn a_refused_version_is_not_repeated_until_something_is_new() {
        let mut outbox = Outbox::default();
        outbox.push(line(1, 1, 1.0));
        assert!(take(&mut outbox, 0.0).is_some());
        assert_eq!(outbox.refuse(1), Some(Some(MarkId(1))));
        assert!(take(&mut outbox, 0.0).is_none(), "no loop");
        outbox.push(line(2, 2, 1.0));
        let next = take(&mut outbox, 0.0).expect("news");
        assert_eq!(next.change.lines.len(), 2, "what was refused goes along");
    }

    #[test]
    fn what_later_deltas_say_is_not_undone_by_what_was_refused() {
        let mut outbox = Outbox::default();
        for version in 1..=2 {
            outbox.push(line(version, 1, version as f64));
            assert!(take(&mut outbox, 0.0).is_some());
        }
        outbox.refuse(1);
        assert_eq!(outbox.confirm(2), Some(Some(MarkId(2))));
        outbox.push(line(3, 3, 1.0));
        let next = take(&mut outbox, 0.0).expect("news");
        assert_eq!(next.change.lines.keys().map(|key| key.0).collect::<Vec<_>>(), [SliceId(3)]);
    }

    #[test]
    fn stale_and_invented_nonces_change_nothing() {
        let mut outbox = Outbox::default();
        outbox.push(line(1, 1, 1.0));
        assert_eq!(outbox.confirm(1), None, "not sent yet");
        assert!(take(&mut outbox, 0.0).is_some());
        assert!(outbox.confirm(1).is_some());
        assert_eq!((outbox.confirm(1), outbox.refuse(99)), (None, None));
        assert!(outbox.is_idle());
    }

    #[test]
    fn a_snapshot_folded_with_later_levels_keeps_both() {
        let mut outbox = Outbox::default();
        let whole = Change { reset: true, cleared: [SliceId(1)].into(), ..Change::default() };
        outbox.push(Arc::new(Publication::new(whole, 1, 1, 0.0, None)));
        let level = Change { levels: [(ClassId(0), (0.5, SecondTry::Never))].into(), ..Change::default() };
        outbox.push(Arc::new(Publication::new(level, 1, 2, 1.0, Some(MarkId(1)))));
        let folded = take(&mut outbox, 0.0).expect("waiting");
        assert!(folded.change.reset && folded.change.levels.len() == 1);
    }

    #[test]
    fn no_more_messages_leave_than_the_cap_and_leaving_a_host_does_not_wait_for_weights() {
        let mut outbox = Outbox::new(MessageCap { most: 6, span: 10.0 });
        let mut left = Vec::new();
        for version in 1..=400 {
            let now = version as f64 * 0.1;
            let leaving = version % 97 == 0;
            outbox.push(line(version, 1, if leaving { 0.0 } else { now }));
            let taken = take(&mut outbox, now);
            assert!(taken.is_some() || !leaving, "a host was to be left at {now}");
            if let Some(publication) = taken {
                left.push(now);
                outbox.confirm(publication.version);
            }
        }
        let within = |at: &f64| left.iter().filter(|other| (0.0..=10.0).contains(&(*other - at))).count();
        let most = left.iter().map(within).max();
        assert!((4..=6).contains(&most.unwrap_or(0)), "{left:?}");
        assert!(left.len() >= 12, "{left:?}");
    }

    #[test]
    fn a_writer_that_waits_until_it_is_told_may_write_then() {
        for n in 0..1000 {
            let began = 2.0 + f64::from(n) * 0.137_31;
            let mut outbox = Outbox::new(MessageCap { most: 2, span: 10.0 });
            outbox.push(line(1, 1, 1.0));
            assert!(take(&mut outbox, began).is_some());
            outbox.confirm(1);
            outbox.push(line(2, 1, 2.0));
            let Next::WaitUntil(until) = outbox.take(began + 0.5) else { panic!("the cap allows one") };
            assert!(take(&mut outbox, until).is_some(), "told {until}, began {began}");
        }
    }
}
