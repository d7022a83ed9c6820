//! Recognises duplicate operations by their idempotency key.
use crate::operation::OperationClass;
use may::sync::Mutex;
use railhub_record::OperationIdempotency;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Number of remembered operations above which those older than the key window are dropped.
const MAX_REMEMBERED_OPERATIONS: usize = 20_000;

/// The operations that have arrived at the hosts, with the scope in which each is recognised.
#[derive(Default)]
pub struct SeenOperations {
    /// When an operation first arrived, in seconds, by scope and operation id. The scope is a zone if only the hosts of
    /// the zone recognise the operation, and `None` if all hosts do.
    first_seen: BTreeMap<(Option<u32>, u64), f64>,
}

impl SeenOperations {
    /// Returns whether the operation is a duplicate, which must not take effect. The first arrival is remembered.
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

/// [`SeenOperations`] that several hosts share. Clones refer to the same operations.
#[derive(Clone, Default)]
pub struct SharedSeenOperations(Arc<Mutex<SeenOperations>>);

impl SharedSeenOperations {
    pub(super) fn is_duplicate(&self, class: &OperationClass, zone: u32, operation: u64, now: f64) -> bool {
        self.0.lock().expect("no holder panics").is_duplicate(class, zone, operation, now)
    }
}
