//! What waits for one proxy: at most one delta to be written and a few in flight. When the proxy does not
//! read, all that comes is folded into the one that waits, so its size is bounded by what there is to say.
//! Free of I/O and of clocks.
use crate::tables::Change;
use railhub::{BarrierId, Seconds};
use railhub_proto::{frame, from_controller, FromController};
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
    pub mark: Option<BarrierId>,
    pub bytes: Vec<u8>,
}

impl Publication {
    pub fn new(
        change: impl Into<Arc<Change>>,
        incarnation: u64,
        version: u64,
        ordered_at: Seconds,
        mark: Option<BarrierId>,
    ) -> Publication {
        let change = change.into();
        let delta = change.to_delta(incarnation, version, ordered_at);
        let bytes = frame(&FromController { payload: Some(from_controller::Payload::Delta(delta)) });
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

struct InFlightDelta {
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
pub enum WriterAction {
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
    in_flight: VecDeque<InFlightDelta>,
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
    pub fn take(&mut self, now: Seconds) -> WriterAction {
        if self.in_flight.len() >= IN_FLIGHT {
            return WriterAction::Nothing;
        }
        // The same sum as told below: a writer that waits until then finds the message gone.
        while self.left_at.front().is_some_and(|at| at + self.cap.span + CAP_SLACK <= now) {
            self.left_at.pop_front();
        }
        let Some(publication) = self.waiting.take() else { return WriterAction::Nothing };
        let most = match publication.change.is_urgent() {
            true => self.cap.most as usize,
            false => (f64::from(self.cap.most) * ORDINARY_PART).ceil() as usize,
        };
        if self.cap.most > 0 && self.left_at.len() >= most {
            self.waiting = Some(publication);
            return WriterAction::WaitUntil(
                self.left_at[self.left_at.len() - most] + self.cap.span + CAP_SLACK,
            );
        }
        if self.cap.most > 0 {
            self.left_at.push_back(now);
        }
        self.in_flight.push_back(InFlightDelta { publication: publication.clone(), at: now });
        WriterAction::Write(publication)
    }

    /// The proxy has taken in the delta of this nonce, and so all before it; the latest mark among them.
    /// `None` for a nonce that is not in flight: an old word, which changes nothing.
    pub fn confirm(&mut self, nonce: u64) -> Option<Option<BarrierId>> {
        let place = self.in_flight.iter().position(|sent| sent.publication.version == nonce)?;
        let confirmed = self.in_flight.drain(..=place);
        Some(confirmed.filter_map(|sent| sent.publication.mark).next_back())
    }

    /// The proxy keeps what it had. What it refused is held back until there is something new to say, less
    /// what it is being told by later deltas.
    pub fn refuse(&mut self, nonce: u64) -> Option<Option<BarrierId>> {
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
mod tests;
