//! Recognises duplicates of an operation by its idempotency key.
use crate::operation::OperationClass;
use may::sync::Mutex;
use railhub_record::OperationIdempotency;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Operations that are remembered before the old ones are dropped.
const MAX_REMEMBERED_OPERATIONS: usize = 20_000;

/// Operations that arrived, at all hosts or at those of a zone.
#[derive(Default)]
pub struct SeenOperations {
    /// When an operation first arrived, in seconds, by zone where only a zone's hosts share it.
    first_seen: BTreeMap<(Option<u32>, u64), f64>,
}

impl SeenOperations {
    /// Whether this is a duplicate, to be dropped; else it is remembered.
    pub fn is_duplicate(&mut self, class: &OperationClass, zone: u32, operation: u64, now: f64) -> bool {
        let scope = match class.idempotency {
            OperationIdempotency::IdempotencyKeyGlobal => None,
            OperationIdempotency::IdempotencyKeyLocal => Some(zone),
            OperationIdempotency::Safe | OperationIdempotency::Never => return false,
        };
        if self.first_seen.len() > MAX_REMEMBERED_OPERATIONS {
            self.first_seen.retain(|_, at| now - *at <= class.key_window);
        }
        let first = *self.first_seen.entry((scope, operation)).or_insert(now);
        first < now && now - first <= class.key_window
    }
}

/// The same for hosts that share it. Clones are the same operations.
#[derive(Clone, Default)]
pub struct SharedSeenOperations(Arc<Mutex<SeenOperations>>);

impl SharedSeenOperations {
    pub(super) fn is_duplicate(&self, class: &OperationClass, zone: u32, operation: u64, now: f64) -> bool {
        self.0.lock().expect("no holder panics").is_duplicate(class, zone, operation, now)
    }
}
