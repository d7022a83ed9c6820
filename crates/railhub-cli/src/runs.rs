//! Runs that are repeated with consecutive seeds, several at a time.
use indicatif::{ProgressBar, ProgressStyle};
use std::io::IsTerminal;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Calls `run` for `count` consecutive seeds on `threads` threads, and returns the results in the order of seeds.
pub fn run_seeds<T: Send>(
    first_seed: u64,
    count: u64,
    threads: usize,
    run: impl Fn(u64) -> T + Sync,
) -> Vec<(u64, T)> {
    let bar = match std::io::stderr().is_terminal() {
        true => ProgressBar::new(count),
        false => ProgressBar::hidden(),
    };
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} runs, {eta} left");
    let bar = bar.with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    let (next, results) = (AtomicU64::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| loop {
                let index = next.fetch_add(1, Ordering::Relaxed);
                if index >= count {
                    return;
                }
                let result = run(first_seed + index);
                results.lock().expect("no holder panics").push((first_seed + index, result));
                bar.inc(1);
            });
        }
    });
    bar.finish_and_clear();
    let mut results = results.into_inner().expect("no holder panics");
    results.sort_by_key(|(seed, _)| *seed);
    results
}

/// The number of cores of the machine; 1 if it is unknown.
pub fn core_count() -> usize {
    std::thread::available_parallelism().map_or(1, |n| n.get())
}

/// The value below which the given fraction of the sorted values lies; `None` if there are none.
pub fn quantile(sorted: &[f64], fraction: f64) -> Option<f64> {
    sorted.get(((sorted.len().max(1) - 1) as f64 * fraction).round() as usize).copied()
}
