//! Process-wide settings: termination and memory allocation.

/// Exit code after a panic in any thread or coroutine.
const PANIC_EXIT_CODE: i32 = 101;

/// Makes a panic in any thread or coroutine end the process with a line on standard error: a process that ends is
/// restarted, while one that has lost a thread would go on without working.
pub fn exit_on_panic() {
    std::panic::set_hook(Box::new(|info| {
        eprintln!("controller aborted: {info}");
        // SAFETY: ends the process immediately; no code of the process runs afterwards.
        unsafe { libc::_exit(PANIC_EXIT_CODE) }
    }));
}

/// Ends the process immediately with code 0. Does not use `exit`, whose handlers would free memory that other threads
/// still use. No handler is needed: log lines are written immediately, and commands are sent within a batch.
pub fn exit_now() -> ! {
    // SAFETY: ends the process immediately; no code of the process runs afterwards.
    unsafe { libc::_exit(0) }
}

/// Makes all threads share one heap arena, to save memory: each further arena would keep free pages of its own.
pub fn use_single_malloc_arena() {
    // SAFETY: sets an integer parameter of the allocator.
    unsafe { libc::mallopt(libc::M_ARENA_MAX, 1) };
}

#[cfg(test)]
mod tests;
