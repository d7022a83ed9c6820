//! Coroutines, detached or cancelled when their owner is dropped.
use may::coroutine::{current, Builder, Coroutine, JoinHandle};
use std::collections::VecDeque;
use std::sync::Mutex;

/// Handles of ended coroutines that are retained, some 200 bytes each: more coroutines than can end while one thread of
/// the runtime is preempted between two instructions.
const MAX_RETAINED_HANDLES: usize = 4096;

/// Handles of the coroutines that ended most recently.
static RETAINED_HANDLES: Mutex<VecDeque<Coroutine>> = Mutex::new(VecDeque::new());

/// Retains a coroutine's handle after the coroutine has ended, to work around a use after free in the runtime (`may`
/// 0.3). The runtime makes a waiting coroutine available to its waker first and only then writes to its handle how it
/// can be cancelled. A coroutine that is woken immediately may have ended on another core by then, so that the write
/// hits freed memory. On busy cores, sleeps of a few nanoseconds corrupted the heap this way (tests/churn.rs).
struct RetainedHandle(Coroutine);

impl Drop for RetainedHandle {
    fn drop(&mut self) {
        let mut ended = RETAINED_HANDLES.lock().expect("no holder panics");
        ended.push_back(self.0.clone());
        let oldest = if ended.len() > MAX_RETAINED_HANDLES { ended.pop_front() } else { None };
        drop(ended);
        drop(oldest);
    }
}

/// Starts a detached coroutine: dropping the handle does not cancel it.
///
/// # Panics
/// If the system has no memory for its stack.
pub fn spawn(work: impl FnOnce() + Send + 'static) -> JoinHandle<()> {
    let with_retained_handle = move || {
        let _retained = RetainedHandle(current());
        work();
    };
    // SAFETY: the work uses no thread-local across a wait, and needs far less stack than it has.
    unsafe { Builder::new().spawn(with_retained_handle) }.expect("memory for the stack of a coroutine")
}

/// A coroutine that is cancelled when this is dropped.
pub struct Task(Option<JoinHandle<()>>);

impl Task {
    /// Starts the coroutine.
    pub fn spawn(work: impl FnOnce() + Send + 'static) -> Task {
        Task(Some(spawn(work)))
    }

    /// Whether the coroutine has ended.
    pub fn is_done(&self) -> bool {
        self.0.as_ref().is_none_or(JoinHandle::is_done)
    }
}

impl Drop for Task {
    fn drop(&mut self) {
        if let Some(handle) = self.0.take() {
            // SAFETY: a cancelled coroutine unwinds from its next wait; the coroutines of this program hold no resource
            // across a wait that unwinding does not release.
            unsafe { handle.coroutine().cancel() };
        }
    }
}
