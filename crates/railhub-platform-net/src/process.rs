//! Settings of the whole process: how it ends and how it allocates.

/// Exit code after a panic in any thread or coroutine.
const PANIC_EXIT_CODE: i32 = 101;

/// Makes a panic anywhere end the process with a line on standard error: a controller that has lost a thread is worse
/// than none, which is started again.
pub fn exit_on_panic() {
    std::panic::set_hook(Box::new(|info| {
        eprintln!("controller aborted: {info}");
        // SAFETY: ends the process at once; nothing here is needed after it.
        unsafe { libc::_exit(PANIC_EXIT_CODE) }
    }));
}

/// Ends the process at once with code 0. Not by `exit`, whose handlers would run while the other threads go on with
/// what they free; nothing is kept back for them: log lines are written as they come, and commands leave within a
/// batch.
pub fn exit_now() -> ! {
    // SAFETY: ends the process; nothing here is needed after it.
    unsafe { libc::_exit(0) }
}

/// Makes all threads share one heap: memory is short, and a heap for each would keep its own free pages.
pub fn use_single_malloc_arena() {
    // SAFETY: sets a number of the allocator's.
    unsafe { libc::mallopt(libc::M_ARENA_MAX, 1) };
}

#[cfg(test)]
mod tests;
