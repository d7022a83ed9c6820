//! One command to the relay: what the decisions want changed in the store or at the proxies.
use railhub::{BarrierId, ClassId, HostId, RetryPolicy, SliceId, WeightedHost};
use std::fmt;

/// A change that the relay carries out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Command {
    /// Gives a host this weight in a slice's table; 0 removes it.
    SetWeight {
        /// The slice whose table changes.
        slice: SliceId,
        /// The host and its weight, 0 or more.
        entry: WeightedHost,
    },
    /// Excludes a host from every table at the proxies.
    Exclude(HostId),
    /// Ends the exclusion of a host.
    Readmit(HostId),
    /// Sets what proxies admit of a class, and which failed attempts they may retry.
    SetAdmissionRate {
        /// The class of requests.
        class: ClassId,
        /// The admitted fraction, 0 to 1.
        rate: f64,
        /// Which failed attempts may be retried.
        retry: RetryPolicy,
    },
    /// Makes every proxy acknowledge all that was sent before.
    Barrier(BarrierId),
}

impl fmt::Display for Command {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Command::SetWeight { slice, entry: WeightedHost { host, weight } } => {
                write!(formatter, "set weight slice={} host={host} weight={weight}", slice.0)
            }
            Command::Exclude(host) => write!(formatter, "exclude host={host}"),
            Command::Readmit(host) => write!(formatter, "readmit host={host}"),
            Command::SetAdmissionRate { class, rate, retry } => {
                write!(formatter, "set admission rate class={} rate={rate} retry={retry:?}", class.0)
            }
            Command::Barrier(barrier) => write!(formatter, "barrier id={}", barrier.0),
        }
    }
}

/// What a command is about: a later command with the same key makes an earlier one that still waits needless.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CommandKey {
    Weight(SliceId, HostId),
    Exclusion(HostId),
    AdmissionRate(ClassId),
    Barrier,
}

impl Command {
    pub(crate) fn key(&self) -> CommandKey {
        match *self {
            Command::SetWeight { slice, entry } => CommandKey::Weight(slice, entry.host),
            Command::Exclude(host) | Command::Readmit(host) => CommandKey::Exclusion(host),
            Command::SetAdmissionRate { class, .. } => CommandKey::AdmissionRate(class),
            Command::Barrier(_) => CommandKey::Barrier,
        }
    }

    /// Whether it changes the table of this slice.
    pub(crate) fn changes_table(&self, slice: SliceId) -> bool {
        self.table() == Some(slice)
    }

    /// The slice whose table it changes.
    pub(crate) fn table(&self) -> Option<SliceId> {
        match *self {
            Command::SetWeight { slice, .. } => Some(slice),
            _ => None,
        }
    }
}
