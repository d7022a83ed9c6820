//! State that the store's connections share: the contents with earlier copies of them, and the injected faults.
use super::contents::StoreContents;
use super::messages::{LeaseReply, StoredTable};
use may::sync::Mutex;
use railhub_membership::lease_messages::LeaseRequest;
use railhub_net::now;
use railhub_record::{EventKind, Recorder, SliceGranted, TableWrite};
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Minimum seconds between copies of the store's contents.
const COPY_INTERVAL_SECONDS: f64 = 0.5;
/// Maximum number of copies that are kept.
const MAX_COPIES: usize = 128;

/// State that the store's connections share.
#[derive(Default)]
pub struct SharedStore {
    pub contents: Mutex<StoreContents>,
    /// Copies of earlier contents, and when each was made, in seconds.
    pub copies: Mutex<VecDeque<(f64, StoreContents)>>,
    pub unavailable: AtomicBool,
    pub response_delay_ms: AtomicU64,
    pub loses_responses: AtomicBool,
    /// Number of restarts. A connection that was opened before the last restart is closed.
    pub restarts: AtomicU64,
    /// Number of table write requests that have been handled.
    pub writes: AtomicU64,
    pub recorder: Option<Recorder>,
}

impl SharedStore {
    /// The latest copy that is not newer than a time in seconds, or the oldest copy if all are newer.
    pub fn copy_before(&self, time: f64) -> Option<StoreContents> {
        let copies = self.copies.lock().expect("no holder panics");
        let latest = copies.iter().rev().find(|(at, _)| *at <= time);
        latest.or(copies.front()).map(|(_, copy)| copy.clone())
    }

    fn record(&self, kind: EventKind) {
        if let Some(recorder) = &self.recorder {
            recorder.record(now(), kind);
        }
    }

    /// Copies the contents if the last copy is old enough.
    fn copy_when_due(&self, contents: &StoreContents) {
        let mut copies = self.copies.lock().expect("no holder panics");
        if copies.back().is_none_or(|(at, _)| now() - at >= COPY_INTERVAL_SECONDS) {
            copies.push_back((now(), contents.clone()));
            if copies.len() > MAX_COPIES {
                copies.pop_front();
            }
        }
    }

    /// Writes tables. Returns the slices whose tables were not written because they are leased under another epoch.
    pub fn write(&self, tables: Vec<StoredTable>) -> Vec<u32> {
        let mut contents = self.contents.lock().expect("no holder panics");
        self.copy_when_due(&contents);
        let mut rejected_slices = Vec::new();
        for table in tables {
            let (slice, epoch) = (table.slice, table.epoch);
            let written = contents.write(now(), table);
            if epoch > 0 {
                self.record(EventKind::TableWrite(TableWrite { slice, epoch, written }));
            }
            if !written {
                rejected_slices.push(slice);
            }
        }
        self.writes.fetch_add(1, Ordering::Relaxed);
        rejected_slices
    }

    /// Handles a lease request and records the new grants.
    pub fn lease(&self, request: &LeaseRequest) -> LeaseReply {
        let mut contents = self.contents.lock().expect("no holder panics");
        self.copy_when_due(&contents);
        let outcome = contents.lease(now(), request);
        for grant in &outcome.new_grants {
            let (slice, epoch, process) = (grant.slice, grant.epoch, request.process);
            self.record(EventKind::SliceGranted(SliceGranted { slice, epoch, process }));
        }
        LeaseReply { response: outcome.response, tables: outcome.tables }
    }
}
