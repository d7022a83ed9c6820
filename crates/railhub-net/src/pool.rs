//! So many coroutines that take work from a bounded queue.
use crate::task::Task;
use crossbeam_queue::ArrayQueue;
use may::sync::Semphore;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Its workers end with it.
pub struct Pool<T> {
    shared: Arc<Shared<T>>,
    _workers: Vec<Task>,
}

struct Shared<T> {
    queue: ArrayQueue<T>,
    wake: Semphore,
    dropped: AtomicU64,
}

impl<T: Send + 'static> Pool<T> {
    /// `waiting`: what may wait for a free worker.
    pub fn start(at_once: usize, waiting: usize, work: impl Fn(T) + Send + Sync + 'static) -> Pool<T> {
        let queue = ArrayQueue::new(waiting);
        let shared = Arc::new(Shared { queue, wake: Semphore::new(0), dropped: AtomicU64::new(0) });
        let work = Arc::new(work);
        let workers = (0..at_once).map(|_| {
            let (shared, work) = (shared.clone(), work.clone());
            Task::go(move || loop {
                shared.wake.wait();
                if let Some(item) = shared.queue.pop() {
                    work(item);
                }
            })
        });
        let workers = workers.collect();
        Pool { shared, _workers: workers }
    }

    /// What does not fit the queue is dropped and counted.
    pub fn ask(&self, item: T) {
        if self.shared.queue.push(item).is_ok() {
            self.shared.wake.post();
        } else {
            self.shared.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    pub fn dropped(&self) -> u64 {
        self.shared.dropped.load(Ordering::Relaxed)
    }
}
