//! Configuration of the coroutine runtime, to be done once per process, before the first coroutine is started.

/// Stack size of a coroutine in words: decoding a message and writing a log line need some ten KiB. Pages of the stack
/// that are never touched use no memory.
const STACK_WORDS: usize = 0x2000;
/// Free stacks kept for reuse by later coroutines.
const STACK_POOL_CAPACITY: usize = 2000;
/// Maximum number of worker threads, however many cores there are.
const MAX_WORKERS: usize = 8;
/// Number of cores assumed if the system does not report it.
const DEFAULT_CORES: usize = 2;

/// Configures one worker for each core but one, which is left for the thread that owns the state, so that coroutines
/// cannot starve it.
pub fn start_runtime() {
    let cores = std::thread::available_parallelism().map_or(DEFAULT_CORES, |cores| cores.get());
    let workers = (cores - 1).clamp(1, MAX_WORKERS);
    configure(workers, STACK_POOL_CAPACITY);
}

/// Configures a single worker, which shares its core with the thread that owns the state, and keeps at most
/// `stack_pool_capacity` free stacks: for a machine with one core and little memory.
pub fn start_runtime_single_worker(stack_pool_capacity: usize) {
    configure(1, stack_pool_capacity);
}

fn configure(workers: usize, stack_pool_capacity: usize) {
    may::config().set_workers(workers).set_stack_size(STACK_WORDS).set_pool_capacity(stack_pool_capacity);
}
