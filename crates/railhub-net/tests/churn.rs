//! Guards against heap corruption by short-lived coroutines on busy cores: the runtime may write to the handle of a
//! coroutine that has already ended on another thread, so the handle must be retained (see `RetainedHandle` in
//! src/task.rs). Without that, this test aborts with a corrupted heap.
use railhub_net::spawn;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Coroutines started in total.
const COROUTINES: u64 = 100_000;
/// Coroutines that may run at once.
const MAX_CONCURRENT: u64 = 200;
/// Threads that keep the cores busy.
const BUSY_THREADS: usize = 8;

#[test]
fn short_lived_coroutines_do_not_corrupt_the_heap() {
    railhub_net::start_runtime();
    let ended = Arc::new(AtomicU64::new(0));
    let stop = Arc::new(AtomicBool::new(false));
    let busy_threads = (0..BUSY_THREADS).map(|_| {
        let stop = stop.clone();
        std::thread::spawn(move || while !stop.load(Ordering::Relaxed) {})
    });
    let busy_threads: Vec<_> = busy_threads.collect();
    let deadline = Instant::now() + Duration::from_secs(60);
    for index in 0..COROUTINES {
        while index - ended.load(Ordering::Relaxed) > MAX_CONCURRENT {
            assert!(
                Instant::now() < deadline,
                "only {} coroutines ended in time",
                ended.load(Ordering::Relaxed)
            );
            std::thread::yield_now();
        }
        let ended_count = ended.clone();
        spawn(move || {
            may::coroutine::sleep(Duration::from_nanos(index % 3));
            ended_count.fetch_add(1, Ordering::Relaxed);
        });
    }
    while ended.load(Ordering::Relaxed) < COROUTINES {
        assert!(Instant::now() < deadline, "only {} coroutines ended in time", ended.load(Ordering::Relaxed));
        std::thread::sleep(Duration::from_millis(10));
    }
    stop.store(true, Ordering::Relaxed);
    busy_threads.into_iter().for_each(|thread| thread.join().expect("a busy thread does not panic"));
}
