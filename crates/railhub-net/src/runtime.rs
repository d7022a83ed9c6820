//! Set-up of the coroutine runtime; once a process, before the first coroutine.

/// Words of stack a coroutine gets: decoding a message and writing a log line need some ten KiB. Pages that are never
/// touched cost nothing.
const STACK_WORDS: usize = 0x2000;
/// Stacks kept for the next coroutine.
const STACK_POOL_CAPACITY: usize = 2000;
/// Worker threads at most, however many cores there are.
const MAX_WORKERS: usize = 8;
/// Cores assumed where the system does not show them.
const DEFAULT_CORES: usize = 2;

/// Sets up one worker a core but one, which is left for the thread that owns the state: coroutines must not crowd it
/// out.
pub fn start_runtime() {
    let cores = std::thread::available_parallelism().map_or(DEFAULT_CORES, |cores| cores.get());
    let workers = (cores - 1).clamp(1, MAX_WORKERS);
    configure(workers, STACK_POOL_CAPACITY);
}

/// Sets up one worker, which shares its core with the thread that owns the state, and keeps so many stacks: for a
/// machine of one core and little memory.
pub fn start_runtime_single_worker(stack_pool_capacity: usize) {
    configure(1, stack_pool_capacity);
}

fn configure(workers: usize, stack_pool_capacity: usize) {
    may::config().set_workers(workers).set_stack_size(STACK_WORDS).set_pool_capacity(stack_pool_capacity);
}
