//! Proxies: what they hold of each slice's table, and until when they may write by it.
use railhub::HostId;
use std::collections::BTreeMap;

/// Seconds for which a proxy writes after it lost its stream or the slice changed hands, until it reads the store.
pub const WRITE_LEASE: f64 = 2.0;
/// Longest duration of a write, in seconds.
pub const MAX_WRITE_DURATION: f64 = 1.0;

/// What a proxy holds of one slice.
#[derive(Clone, Debug, Default)]
pub struct HeldTable {
    pub owner: Option<HostId>,
    /// Until when it may start writes; `None` if it has read the store on a stream that stands.
    pub write_until: Option<f64>,
}

/// A proxy's stream to one controller.
#[derive(Clone, Debug, Default)]
pub struct Stream {
    pub is_open: bool,
    /// Number of streams to this controller since the proxy started.
    pub count: u64,
    /// When the latest message arrives: messages arrive in order.
    pub last_arrival: f64,
    /// When it has read the store.
    pub read_at: f64,
}

/// A proxy with its tables and streams.
#[derive(Clone, Debug, Default)]
pub struct Proxy {
    pub tables: Vec<HeldTable>,
    pub streams: Vec<Stream>,
}

impl Proxy {
    /// Writes of a slice end after the lease, unless the proxy reads the store before.
    pub fn start_lease(&mut self, slice: usize, now: f64) {
        let held = &mut self.tables[slice];
        let until = now + WRITE_LEASE;
        held.write_until = Some(held.write_until.map_or(until, |earlier| earlier.min(until)));
    }

    /// The host at which the proxy may start a write of a slice now.
    pub fn write_target(&self, slice: usize, now: f64) -> Option<HostId> {
        let held = &self.tables[slice];
        held.owner.filter(|_| held.write_until.is_none_or(|until| now <= until))
    }
}

/// The latest start of a write of each slice at each host.
#[derive(Debug, Default)]
pub struct WriteLog(BTreeMap<(usize, HostId), f64>);

impl WriteLog {
    pub fn record(&mut self, slice: usize, host: HostId, now: f64) {
        self.0.insert((slice, host), now);
    }

    /// Another host at which a write of the slice may be in progress.
    pub fn host_with_write(&self, slice: usize, owner: HostId, now: f64) -> Option<HostId> {
        let in_progress = |((logged, host), started_at): (&(usize, HostId), &f64)| {
            let is_other = *logged == slice && *host != owner;
            (is_other && started_at + MAX_WRITE_DURATION > now).then_some(*host)
        };
        self.0.iter().find_map(in_progress)
    }
}
