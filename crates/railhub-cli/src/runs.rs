//! Many runs, one a seed, some at once.
use indicatif::{ProgressBar, ProgressStyle};
use std::io::IsTerminal;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Each seed's run, in the order of seeds.
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

/// As many as the machine has cores.
pub fn core_count() -> usize {
    std::thread::available_parallelism().map_or(1, |n| n.get())
}

/// The value below which such a share of all lies, out of sorted ones.
pub fn quantile(sorted: &[f64], fraction: f64) -> Option<f64> {
    sorted.get(((sorted.len().max(1) - 1) as f64 * fraction).round() as usize).copied()
}
