//! Open file descriptors, counted by what holds them.
use std::sync::atomic::{AtomicUsize, Ordering};

/// Open descriptors by holder.
#[derive(Default)]
pub struct OpenDescriptors {
    /// Connections to the controller's own address, of collectors and of unidentified peers.
    pub inbound: AtomicUsize,
    /// Those of `inbound` that joined as a zone's collector.
    pub collectors: AtomicUsize,
    /// Connections to the relay: subscription and calls.
    pub relay: AtomicUsize,
    /// Discovery watches.
    pub discovery: AtomicUsize,
    /// Health checks under way.
    pub health_checks: AtomicUsize,
}

/// Counts one descriptor until it is dropped.
pub struct DescriptorGuard<'a>(&'a AtomicUsize);

impl<'a> DescriptorGuard<'a> {
    /// Adds one to the holder's count.
    pub fn count(holder: &'a AtomicUsize) -> DescriptorGuard<'a> {
        holder.fetch_add(1, Ordering::Relaxed);
        DescriptorGuard(holder)
    }
}

impl Drop for DescriptorGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
