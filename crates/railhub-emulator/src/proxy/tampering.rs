//! What a sabotaged proxy does; nothing in an honest run.
use super::Proxy;
use crate::operation::PlannedOperation;
use crate::sabotage::Sabotage;
use railhub_net::now;
use railhub_proto::Delta;
use railhub_record::{DeltaReceived, EventKind};
use std::net::SocketAddr;

/// Of so many slices, [`Sabotage::LosesLines`] loses the lines of one.
const LOST_SLICE_MODULUS: u32 = 8;
/// Remainder of the slices that are lost.
const LOST_SLICE_REMAINDER: u32 = 3;
/// How often [`Sabotage::ReceivesTooManyMessages`] receives a message again.
const EXTRA_MESSAGES: usize = 6;
/// Of so many operations, [`Sabotage::RetriesBlindly`] retries one.
const BLIND_RETRY_MODULUS: u64 = 10;

impl Proxy {
    /// Changes a delta as the sabotage has it.
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
            let empty = Delta { lines: Vec::new(), cleared: Vec::new(), reset: false, ..delta.clone() };
            let received =
                DeltaReceived { proxy: self.config.number, delta: empty, controller: controller as u32 };
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

    pub(super) fn retries_blindly(&self, operation: &PlannedOperation) -> bool {
        self.sabotage == Some(Sabotage::RetriesBlindly)
            && operation.operation.is_multiple_of(BLIND_RETRY_MODULUS)
    }

    /// Where a sabotaged proxy sends an operation.
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
