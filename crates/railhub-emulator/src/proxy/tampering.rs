//! The deliberate faults of a sabotaged proxy. Without a [`Sabotage`] nothing here has an effect.
use super::Proxy;
use crate::operation::PlannedOperation;
use crate::sabotage::Sabotage;
use railhub_net::now;
use railhub_proto::Delta;
use railhub_record::{DeltaReceived, EventKind};
use std::net::SocketAddr;

/// [`Sabotage::LosesLines`] drops the lines of one slice in this many.
const LOST_SLICE_MODULUS: u32 = 8;
/// Remainder, modulo [`LOST_SLICE_MODULUS`], of the slices whose lines are dropped.
const LOST_SLICE_REMAINDER: u32 = 3;
/// Number of extra copies of each message that [`Sabotage::ReceivesTooManyMessages`] records.
const EXTRA_MESSAGES: usize = 6;
/// [`Sabotage::RetriesBlindly`] retries one operation in this many.
const BLIND_RETRY_MODULUS: u64 = 10;

impl Proxy {
    /// Applies the sabotage to a received delta: drops lines, records extra messages, or remembers exclusions.
    pub(super) fn tamper(&self, controller: usize, mut delta: Delta) -> Delta {
        match self.sabotage {
            Some(Sabotage::LosesLines) => {
                delta.lines.retain(|line| line.slice % LOST_SLICE_MODULUS != LOST_SLICE_REMAINDER);
            }
            Some(Sabotage::ReceivesTooManyMessages) => self.record_extra_messages(controller, &delta),
            Some(Sabotage::IgnoresExclusions) => self.remember_excluded(&delta),
            _ => {}
        }
        delta
    }

    fn record_extra_messages(&self, controller: usize, delta: &Delta) {
        for _ in 0..EXTRA_MESSAGES {
            let empty_copy = Delta { lines: Vec::new(), cleared: Vec::new(), reset: false, ..delta.clone() };
            let received =
                DeltaReceived { proxy: self.config.number, delta: empty_copy, controller: controller as u32 };
            self.environment.recorder.record(now(), EventKind::DeltaReceived(received));
        }
    }

    fn remember_excluded(&self, delta: &Delta) {
        let mut once_excluded = self.once_excluded.lock().expect("no holder panics");
        for exclusion in delta.exclusions.iter().filter(|exclusion| exclusion.excluded) {
            if let Ok(host) = exclusion.host.parse() {
                once_excluded.insert(host);
            }
        }
    }

    /// Whether the sabotage retries an operation whatever its result and retry condition.
    pub(super) fn retries_blindly(&self, operation: &PlannedOperation) -> bool {
        self.sabotage == Some(Sabotage::RetriesBlindly)
            && operation.operation.is_multiple_of(BLIND_RETRY_MODULUS)
    }

    /// The host to which the sabotage sends an operation; `None` if the sabotage does not choose the host.
    pub(super) fn sabotaged_host(&self, operation: &PlannedOperation) -> Option<SocketAddr> {
        match self.sabotage? {
            Sabotage::FloodsColdHosts => *self.environment.newest_host.lock().expect("no holder panics"),
            Sabotage::IgnoresExclusions => {
                let once_excluded = self.once_excluded.lock().expect("no holder panics");
                let index = operation.operation as usize % once_excluded.len().max(1);
                once_excluded.iter().nth(index).copied()
            }
            _ => None,
        }
    }
}
