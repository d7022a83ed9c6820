//! How long operations took, by class.
use hdrhistogram::Histogram;
use railhub_record::{Event, EventKind, Limits, Outcome};
use serde::Serialize;

/// Microseconds, the unit that histograms count in, of a second.
const UNIT: f64 = 1e6;
/// Significant digits that histograms keep.
const DIGITS: u8 = 3;

/// Times of the operations of one class that got an answer, in time or late; histograms of runs add up.
#[derive(Clone, Debug)]
pub struct Tail {
    pub class: String,
    pub times: Histogram<u64>,
    /// Operations without any answer.
    pub unanswered: u64,
}

/// Seconds within which so many of a hundred operations were answered; none: fewer were answered at all.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct TailFigures {
    pub class: String,
    pub operations: u64,
    pub half: Option<f64>,
    pub of_99: Option<f64>,
    pub of_999: Option<f64>,
}

impl Tail {
    pub fn add(&mut self, other: &Tail) {
        let _ = self.times.add(&other.times);
        self.unanswered += other.unanswered;
    }

    /// Operations without an answer stand at the far end: leaving them out would flatter who drops the slow.
    pub fn figures(&self) -> TailFigures {
        let all = self.times.len() + self.unanswered;
        let within = |share: f64| {
            let rank = (share * all as f64).ceil().max(1.0);
            let answered = self.times.len() as f64;
            (rank <= answered).then(|| self.times.value_at_quantile(rank / answered) as f64 / UNIT)
        };
        TailFigures {
            class: self.class.clone(),
            operations: all,
            half: within(0.5),
            of_99: within(0.99),
            of_999: within(0.999),
        }
    }
}

pub fn by_class(events: &[Event], limits: &Limits) -> Vec<Tail> {
    let empty = |class: &railhub_record::ClassLimits| Tail {
        class: class.name.clone(),
        times: Histogram::new(DIGITS).expect("three digits are allowed"),
        unanswered: 0,
    };
    let mut tails: Vec<Tail> = limits.classes.iter().map(empty).collect();
    for event in events {
        let Some(EventKind::OperationEnd(end)) = &event.kind else { continue };
        let Some(tail) = tails.get_mut(end.class as usize) else { continue };
        match end.outcome() {
            Outcome::Completed | Outcome::Late => {
                let _ = tail.times.record(((event.at - end.began).max(0.0) * UNIT) as u64);
            }
            _ => tail.unanswered += 1,
        }
    }
    tails
}

#[cfg(test)]
mod tests;
