//! Coroutines that end with their owner.
use may::coroutine::{Builder, JoinHandle};

/// Words of stack a coroutine gets: decoding a message and writing a log line need some ten KiB. Pages that
/// are never touched cost nothing.
const STACK_WORDS: usize = 0x2000;
/// Stacks kept for the next coroutine.
const KEPT_STACKS: usize = 2000;

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

/// A coroutine on its own.
pub fn go(work: impl FnOnce() + Send + 'static) -> JoinHandle<()> {
    // SAFETY: the work touches no thread-local across a wait, and its stack is far above its need.
    unsafe { Builder::new().spawn(work) }.expect("a coroutine can be made")
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
