//! What is due, in the order of its time; of what is due at once, the first said is the first done.
use crate::operations::OpId;
use railhub_controller::core::StreamId;
use railhub_controller::publication::Publication;
use railhub_emulator::AttemptResult;
use railhub_proto::LoadReport;
use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::sync::Arc;

/// Places in the model's lists.
pub type HostAt = usize;
pub type ProxyAt = usize;

pub enum Due {
    Comes(usize),
    ComesAgain(OpId),
    Looks(OpId),
    Reaches(OpId, u64),
    WaitEnds(OpId, u64),
    Answered(OpId, u64, AttemptResult),
    Begins(HostAt, u64, Job),
    Done(HostAt, u64, Job, bool),
    Dials(ProxyAt),
    Reports(ProxyAt),
    SumsArrive(ProxyAt, Box<LoadReport>),
    Delta(ProxyAt, StreamId, Arc<Publication>),
    Word(ProxyAt, StreamId, u64, bool),
    Mail(ProxyAt),
    Probed(HostAt),
    ProbeEnds(HostAt, railhub::HealthCheckOutcome),
    ListTells,
    ListLearns(HostAt, &'static str),
    StewardWakes,
    StewardStarts,
    TroubleOn(usize),
    TroubleOff(usize),
    Pulse(usize, usize),
    DrainEnds(HostAt),
}

/// A try at a host.
#[derive(Clone, Copy)]
pub struct Job {
    pub op: OpId,
    pub attempt: u64,
    pub came: f64,
}

struct Entry {
    at: f64,
    number: u64,
    due: Due,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Entry) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Entry) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    /// The earliest is the greatest: a heap gives its greatest first.
    fn cmp(&self, other: &Entry) -> Ordering {
        other.at.total_cmp(&self.at).then(other.number.cmp(&self.number))
    }
}

#[derive(Default)]
pub struct Agenda {
    heap: BinaryHeap<Entry>,
    last: u64,
    pub now: f64,
}

impl Agenda {
    pub fn at(&mut self, at: f64, due: Due) {
        self.last += 1;
        self.heap.push(Entry { at: at.max(self.now), number: self.last, due });
    }

    pub fn after(&mut self, span: f64, due: Due) {
        self.at(self.now + span, due);
    }

    pub fn next(&mut self) -> Option<Due> {
        let entry = self.heap.pop()?;
        self.now = entry.at;
        Some(entry.due)
    }
}
