//! What the store's connections share: the contents with their copies, and the injected faults.
use super::contents::StoreContents;
use super::messages::{LeaseReply, StoredTable};
use may::sync::Mutex;
use railhub_membership::lease_messages::LeaseRequest;
use railhub_net::now;
use railhub_record::{EventKind, Recorder, SliceGranted, TableWrite};
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Seconds between copies of the store's contents.
const COPY_INTERVAL_SECONDS: f64 = 0.5;
/// Copies that are kept.
const MAX_COPIES: usize = 128;

/// What the store's connections share.
#[derive(Default)]
pub struct SharedStore {
    pub contents: Mutex<StoreContents>,
    /// Earlier contents, and when they were copied, in seconds.
    pub copies: Mutex<VecDeque<(f64, StoreContents)>>,
    pub unavailable: AtomicBool,
    pub response_delay_ms: AtomicU64,
    pub loses_responses: AtomicBool,
    /// Restarts so far; connections from before the last one are closed.
    pub restarts: AtomicU64,
    pub writes: AtomicU64,
    pub recorder: Option<Recorder>,
}

impl SharedStore {
    /// The latest copy from before a time in seconds, else the oldest.
    pub fn copy_before(&self, before: f64) -> Option<StoreContents> {
        let copies = self.copies.lock().expect("no holder panics");
        let latest = copies.iter().rev().find(|(at, _)| *at <= before);
        latest.or(copies.front()).map(|(_, copy)| copy.clone())
    }

    fn record(&self, kind: EventKind) {
        if let Some(recorder) = &self.recorder {
            recorder.record(now(), kind);
        }
    }

    fn copy_when_due(&self, contents: &StoreContents) {
        let mut copies = self.copies.lock().expect("no holder panics");
        if copies.back().is_none_or(|(at, _)| now() - at >= COPY_INTERVAL_SECONDS) {
            copies.push_back((now(), contents.clone()));
            if copies.len() > MAX_COPIES {
                copies.pop_front();
            }
        }
    }

    /// Writes tables. Returns the slices that are leased under another epoch, and were not written.
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
