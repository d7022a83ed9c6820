//! Commands to the relay: changes to the store or to the proxies.
use railhub::{BarrierId, ClassId, HostId, RetryPolicy, SliceId, UndeliveredExclusion, WeightedHost};
use std::fmt;

/// A change that the relay carries out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Command {
    /// Sets the weight of a host in a slice's table; 0 removes the host.
    SetWeight {
        /// The slice whose table changes.
        slice: SliceId,
        /// The host and its weight, 0 or more.
        entry: WeightedHost,
    },
    /// Excludes a host at the proxies, whatever their tables contain.
    Exclude(HostId),
    /// Ends the exclusion of a host.
    Readmit(HostId),
    /// Sets the fraction of a class's operations that proxies admit, and which failed attempts they may retry.
    SetAdmissionRate {
        /// The class of operations.
        class: ClassId,
        /// The admitted fraction, 0 to 1.
        rate: f64,
        /// Which failed attempts may be retried.
        retry: RetryPolicy,
    },
    /// Makes every proxy acknowledge all changes sent before the barrier.
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

/// The target of a command. A command replaces a queued earlier one with the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CommandKey {
    Weight(SliceId, HostId),
    Exclusion(HostId),
    AdmissionRate(ClassId),
    Barrier,
}

impl Command {
    /// The target by which queued commands replace each other.
    pub(crate) fn key(&self) -> CommandKey {
        match *self {
            Command::SetWeight { slice, entry } => CommandKey::Weight(slice, entry.host),
            Command::Exclude(host) | Command::Readmit(host) => CommandKey::Exclusion(host),
            Command::SetAdmissionRate { class, .. } => CommandKey::AdmissionRate(class),
            Command::Barrier(_) => CommandKey::Barrier,
        }
    }

    /// The event that reports the command as dropped, if it excludes or readmits a host.
    pub(crate) fn undelivered_exclusion(&self) -> Option<UndeliveredExclusion> {
        match *self {
            Command::Exclude(host) => Some(UndeliveredExclusion { host, is_excluded: true }),
            Command::Readmit(host) => Some(UndeliveredExclusion { host, is_excluded: false }),
            _ => None,
        }
    }

    /// Whether the command changes the table of this slice.
    pub(crate) fn changes_table(&self, slice: SliceId) -> bool {
        self.table() == Some(slice)
    }

    /// Whether the command names a host in a table, and does not only remove one.
    pub(crate) fn names_host(&self) -> bool {
        matches!(self, Command::SetWeight { entry, .. } if entry.weight > 0.0)
    }

    /// The slice whose table the command changes.
    pub(crate) fn table(&self) -> Option<SliceId> {
        match *self {
            Command::SetWeight { slice, .. } => Some(slice),
            _ => None,
        }
    }
}
