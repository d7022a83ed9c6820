//! A fixed number of worker coroutines that take items from a bounded queue.
use crate::task::Task;
use crossbeam_queue::ArrayQueue;
use may::sync::Semphore;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// A pool of workers, which are cancelled when the pool is dropped.
pub struct WorkerPool<T> {
    queue: Arc<WorkQueue<T>>,
    _workers: Vec<Task>,
}

struct WorkQueue<T> {
    items: ArrayQueue<T>,
    /// One permit for each queued item.
    available: Semphore,
    dropped: AtomicU64,
}

impl<T> WorkQueue<T> {
    fn take(&self) -> Option<T> {
        self.available.wait();
        self.items.pop()
    }
}

impl<T: Send + 'static> WorkerPool<T> {
    /// Starts `workers` workers, which call `work` for each item; at most `max_queued` items wait for a free worker.
    pub fn start(
        workers: usize,
        max_queued: usize,
        work: impl Fn(T) + Send + Sync + 'static,
    ) -> WorkerPool<T> {
        let queue = Arc::new(WorkQueue {
            items: ArrayQueue::new(max_queued),
            available: Semphore::new(0),
            dropped: AtomicU64::new(0),
        });
        let work = Arc::new(work);
        let start_worker = |_| {
            let (queue, work) = (queue.clone(), work.clone());
            Task::spawn(move || loop {
                if let Some(item) = queue.take() {
                    work(item);
                }
            })
        };
        let workers = (0..workers).map(start_worker).collect();
        WorkerPool { queue, _workers: workers }
    }

    /// Queues an item; drops and counts it if the queue is full.
    pub fn submit(&self, item: T) {
        if self.queue.items.push(item).is_ok() {
            self.queue.available.post();
        } else {
            self.queue.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Number of items dropped because the queue was full.
    pub fn dropped(&self) -> u64 {
        self.queue.dropped.load(Ordering::Relaxed)
    }
}
