//! Coroutines that wait for next to nothing and end, on busy cores: what the runtime still holds of one that another
//! thread ends must stay there. Without that this test ends with a corrupted heap.
use railhub_net::spawn;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Coroutines in all, and threads that keep the cores busy.
const COROUTINES: u64 = 100_000;
const AT_ONCE: u64 = 200;
const BUSY: usize = 8;

#[test]
fn coroutines_that_wait_for_next_to_nothing_and_end_leave_the_heap_whole() {
    railhub_net::start_runtime();
    let ended = Arc::new(AtomicU64::new(0));
    let stop = Arc::new(AtomicBool::new(false));
    let busy = (0..BUSY).map(|_| {
        let stop = stop.clone();
        std::thread::spawn(move || while !stop.load(Ordering::Relaxed) {})
    });
    let busy: Vec<_> = busy.collect();
    let until = Instant::now() + Duration::from_secs(60);
    for n in 0..COROUTINES {
        while n - ended.load(Ordering::Relaxed) > AT_ONCE {
            assert!(Instant::now() < until, "{} ended", ended.load(Ordering::Relaxed));
            std::thread::yield_now();
        }
        let counted = ended.clone();
        spawn(move || {
            may::coroutine::sleep(Duration::from_nanos(n % 3));
            counted.fetch_add(1, Ordering::Relaxed);
        });
    }
    while ended.load(Ordering::Relaxed) < COROUTINES {
        assert!(Instant::now() < until, "{} ended", ended.load(Ordering::Relaxed));
        std::thread::sleep(Duration::from_millis(10));
    }
    stop.store(true, Ordering::Relaxed);
    busy.into_iter().for_each(|thread| thread.join().expect("it only counts"));
}
