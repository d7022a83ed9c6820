//! Coroutines that end with their owner.
use may::coroutine::{current, Builder, Coroutine, JoinHandle};
use std::collections::VecDeque;
use std::sync::Mutex;

/// Words of stack a coroutine gets: decoding a message and writing a log line need some ten KiB. Pages that
/// are never touched cost nothing.
const STACK_WORDS: usize = 0x2000;
/// Stacks kept for the next coroutine.
const KEPT_STACKS: usize = 2000;
/// Coroutines that have ended whose handles are kept, some 200 bytes each: more than can end while one thread of
/// the runtime stands still between two instructions.
const ENDED_KEPT: usize = 4096;

/// Sets up the coroutine runtime; once a process, before the first coroutine.
pub fn start() {
    // One core is left for the thread that owns a steward's state: coroutines must not crowd it out.
    let cores = std::thread::available_parallelism().map_or(2, |n| n.get());
    let workers = (cores - 1).clamp(1, 8);
    may::config().set_workers(workers).set_stack_size(STACK_WORDS).set_pool_capacity(KEPT_STACKS);
}

/// The same for a machine of one core and little memory: one worker, which shares the core with the thread that
/// owns the state.
pub fn start_small(stacks: usize) {
    may::config().set_workers(1).set_stack_size(STACK_WORDS).set_pool_capacity(stacks);
}

/// Those that ended last.
static ENDED: Mutex<VecDeque<Coroutine>> = Mutex::new(VecDeque::new());

/// Keeps a coroutine's handle past its end. The runtime (`may` 0.3) hands a coroutine that waits to whoever wakes
/// it first and only then notes in its handle how it may be cancelled. One that is woken at once can have run to
/// its end by then on another core, and the note goes into memory that was given back: heaps were corrupted so,
/// on busy cores, by sleeps of next to nothing (tests/churn.rs).
struct Kept(Coroutine);

impl Drop for Kept {
    fn drop(&mut self) {
        let mut ended = ENDED.lock().expect("no holder panics");
        ended.push_back(self.0.clone());
        let oldest = if ended.len() > ENDED_KEPT { ended.pop_front() } else { None };
        drop(ended);
        drop(oldest);
    }
}

/// A coroutine on its own.
pub fn go(work: impl FnOnce() + Send + 'static) -> JoinHandle<()> {
    let kept = move || {
        let _kept = Kept(current());
        work();
    };
    // SAFETY: the work touches no thread-local across a wait, and its stack is far above its need.
    unsafe { Builder::new().spawn(kept) }.expect("a coroutine can be made")
}

/// A coroutine that is cancelled when this is dropped.
pub struct Task(Option<JoinHandle<()>>);

impl Task {
    pub fn go(work: impl FnOnce() + Send + 'static) -> Task {
        Task(Some(go(work)))
    }

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
