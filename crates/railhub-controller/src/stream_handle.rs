//! The state shared by the owner of the core and the reader and writer of a stream.
use crate::change::Change;
use crate::core::{CloseReason, ProxyChannel};
use crate::delta_queue::{DeltaQueue, DeltaResponse, MessageQuota, ResponseEffect, WriterAction};
use crate::lease_table::LeaseTable;
use crate::publication::Publication;
use may::sync::{Mutex, Semphore};
use railhub::{Seconds, UndeliveredExclusion};
use std::sync::Arc;

/// The deltas of one stream, and the semaphore that wakes its writer.
pub struct StreamHandle {
    state: Mutex<HandleState>,
    wake: Semphore,
    /// The slices that may be published, if controllers share them.
    leases: Option<Arc<LeaseTable>>,
}

struct HandleState {
    queue: DeltaQueue,
    /// The reason to send before the stream is closed; `None` while it stays open.
    close_reason: Option<String>,
}

/// The next action of a stream's writer.
pub(crate) enum StreamAction {
    /// Send a goodbye with this reason and close the stream.
    Close(String),
    /// Continue with the action of the delta queue.
    Continue(WriterAction),
}

impl StreamHandle {
    pub(crate) fn new(quota: MessageQuota, leases: Option<Arc<LeaseTable>>) -> StreamHandle {
        let state = HandleState { queue: DeltaQueue::new(quota), close_reason: None };
        StreamHandle { state: Mutex::new(state), wake: Semphore::new(0), leases }
    }

    /// Makes the writer close the stream. The reason is sent if the proxy still reads; only the first one is kept.
    pub(crate) fn request_close(&self, reason: &str) {
        self.with_state(|state| {
            state.close_reason.get_or_insert_with(|| reason.to_owned());
        });
        self.wake();
    }

    /// The writer's next action.
    pub(crate) fn next_action(&self, now: Seconds) -> StreamAction {
        self.with_state(|state| match &state.close_reason {
            Some(reason) => StreamAction::Close(reason.clone()),
            None => StreamAction::Continue(state.queue.next_action(now)),
        })
    }

    /// Waits for one [`StreamHandle::wake`], which may have been called before.
    pub(crate) fn wait(&self) {
        self.wake.wait();
    }

    /// Ends the present or the next [`StreamHandle::wait`].
    pub(crate) fn wake(&self) {
        self.wake.post();
    }

    /// Encodes a delta without the slices whose leases have expired since it was decided, because the proxy reads
    /// slowly or the process was suspended; `None` if there are none. The next holder publishes the slices that are
    /// left out.
    pub(crate) fn without_expired(&self, publication: &Publication) -> Option<Vec<u8>> {
        let leases = self.leases.as_ref()?;
        let expired = leases.expired(&publication.change.epochs);
        if expired.is_empty() {
            return None;
        }
        let mut change = Change::clone(&publication.change);
        change.retain_slices(|slice| !expired.contains(&slice));
        Some(publication.with_change(change).bytes)
    }

    fn with_state<T>(&self, action: impl FnOnce(&mut HandleState) -> T) -> T {
        action(&mut self.state.lock().expect("no holder panics"))
    }
}

impl ProxyChannel for Arc<StreamHandle> {
    fn push(&self, publication: Arc<Publication>) {
        self.with_state(|state| state.queue.push(publication));
        self.wake();
    }

    fn on_response(&self, nonce: u64, response: DeltaResponse) -> ResponseEffect {
        let (effect, has_pending) = self.with_state(|state| {
            let effect = state.queue.on_response(nonce, response);
            (effect, state.queue.has_pending())
        });
        if has_pending {
            self.wake();
        }
        effect
    }

    fn rejected_exclusions(&self) -> Vec<UndeliveredExclusion> {
        self.with_state(|state| state.queue.rejected_exclusions())
    }

    fn is_idle(&self) -> bool {
        self.with_state(|state| state.queue.is_idle())
    }

    fn backlog_lines(&self, message_cost: f64) -> f64 {
        self.with_state(|state| state.queue.backlog_lines(message_cost))
    }

    fn unacknowledged_since(&self) -> Option<Seconds> {
        self.with_state(|state| state.queue.unacknowledged_since())
    }

    fn merged(&self) -> u64 {
        self.with_state(|state| state.queue.merged)
    }

    fn close(&self, reason: CloseReason) {
        self.request_close(&reason.to_string());
    }
}
