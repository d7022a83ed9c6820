//! Counters of open file descriptors by use.
use std::sync::atomic::{AtomicUsize, Ordering};

/// Numbers of open descriptors by use.
#[derive(Default)]
pub struct OpenDescriptors {
    /// Inbound connections to the controller's listen address, from collectors and unidentified peers.
    pub inbound: AtomicUsize,
    /// Inbound connections that joined as the collector of a zone; also counted in `inbound`.
    pub collectors: AtomicUsize,
    /// Connections to the relay, for the subscription and for calls.
    pub relay: AtomicUsize,
    /// Discovery watches.
    pub discovery: AtomicUsize,
    /// Health checks in progress.
    pub health_checks: AtomicUsize,
}

/// Counts one descriptor until it is dropped.
pub struct DescriptorGuard<'a>(&'a AtomicUsize);

impl<'a> DescriptorGuard<'a> {
    /// Increments the counter until the guard is dropped.
    pub fn count(counter: &'a AtomicUsize) -> DescriptorGuard<'a> {
        counter.fetch_add(1, Ordering::Relaxed);
        DescriptorGuard(counter)
    }
}

impl Drop for DescriptorGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
