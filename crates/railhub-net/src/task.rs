//! Coroutines, on their own or cancelled with their owner.
use may::coroutine::{current, Builder, Coroutine, JoinHandle};
use std::collections::VecDeque;
use std::sync::Mutex;

/// Handles kept of coroutines that have ended, some 200 bytes each: more than can end while one thread of the runtime
/// stands still between two instructions.
const MAX_RETAINED_HANDLES: usize = 4096;

/// Handles of the coroutines that ended last.
static RETAINED_HANDLES: Mutex<VecDeque<Coroutine>> = Mutex::new(VecDeque::new());

/// Keeps a coroutine's handle past its end. The runtime (`may` 0.3) hands a coroutine that waits to whoever wakes
/// it first and only then notes in its handle how it may be cancelled. One that is woken at once can have run to
/// its end by then on another core, and the note goes into memory that was given back: heaps were corrupted so,
/// on busy cores, by sleeps of next to nothing (tests/churn.rs).
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

/// Starts a coroutine that nothing cancels.
///
/// # Panics
/// If the system has no memory for its stack.
pub fn spawn(work: impl FnOnce() + Send + 'static) -> JoinHandle<()> {
    let with_retained_handle = move || {
        let _kept = RetainedHandle(current());
        work();
    };
    // SAFETY: the work touches no thread-local across a wait, and its stack is far above its need.
    unsafe { Builder::new().spawn(with_retained_handle) }.expect("a coroutine can be made")
}

/// A coroutine that is cancelled when this is dropped.
pub struct Task(Option<JoinHandle<()>>);

impl Task {
    /// Starts the coroutine.
    pub fn spawn(work: impl FnOnce() + Send + 'static) -> Task {
        Task(Some(spawn(work)))
    }

    /// Whether it has ended.
    pub fn is_done(&self) -> bool {
        self.0.as_ref().is_none_or(JoinHandle::is_done)
    }
}

impl Drop for Task {
    fn drop(&mut self) {
        if let Some(handle) = self.0.take() {
            // SAFETY: a cancelled coroutine unwinds from its next wait; ours hold nothing across one that
            // unwinding does not give back.
            unsafe { handle.coroutine().cancel() };
        }
    }
}
