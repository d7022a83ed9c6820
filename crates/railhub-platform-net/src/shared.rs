//! What the parts of a steward share: its inbox, the addresses that count now, and counts for the log.
use crate::health::PeerHealth;
use may::sync::Semphore;
use railhub::{HealthCheckOutcome, HostLoadReport, SliceLoadReport};
use railhub_net::{Closer, Inbox};
use railhub_platform::{
    CallResponse, EndpointPage, InvalidEntry, Names, NodeConfig, Probe, RelayEvent, SubscriptionId,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// Words and sums that may wait for the owner: some seconds of them.
const WORDS: usize = 4096;
const SUMS: usize = 4096;
/// Pages of the host list that may wait for the owner: each may be a whole list.
const PAGES: usize = 4;

pub enum ControllerEvent {
    EndpointPage(EndpointPage),
    /// A subscription is about to be asked for, brings news, is no more.
    Asked(SubscriptionId),
    RelayEvent(SubscriptionId, RelayEvent),
    Ended(SubscriptionId),
    Probe(Probe, HealthCheckOutcome),
    /// How the call that was out ended; without an answer its outcome is not known.
    CallEnded(Option<CallResponse>),
}

pub enum LoadReport {
    HostLoad(HostLoadReport),
    SliceLoad(SliceLoadReport),
}

/// Where the relay and discovery are now; `version` counts the files that said so.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    pub version: u64,
    pub relay: SocketAddr,
    pub discovery: SocketAddr,
}

/// Descriptors by what holds them.
#[derive(Default)]
pub struct OpenDescriptors {
    pub visitors: AtomicUsize,
    pub collectors: AtomicUsize,
    pub relay: AtomicUsize,
    pub discovery: AtomicUsize,
    pub probes: AtomicUsize,
}

/// The line that stands for something, with the version of the file that named its peer. A newer one ends it; an older
/// follower, however late it comes between two lines of ours, does not end a newer one's.
#[derive(Default)]
pub struct ActiveConnection(Mutex<Option<(u64, Closer)>>);

impl ActiveConnection {
    /// Whether the line stands now.
    pub fn take_over(&self, version: u64, line: Closer) -> bool {
        let mut standing = self.0.lock().expect("no holder panics");
        if standing.as_ref().is_some_and(|(newer, _)| *newer > version) {
            return false;
        }
        if let Some((_, older)) = standing.replace((version, line)) {
            older.close();
        }
        true
    }

    /// Whether no newer file's line stands.
    pub fn is_current(&self, version: u64) -> bool {
        let standing = self.0.lock().expect("no holder panics");
        standing.as_ref().is_none_or(|(newest, _)| *newest <= version)
    }

    pub fn close(&self) {
        self.0.lock().expect("no holder panics").iter().for_each(|(_, line)| line.close());
    }
}

#[derive(Default)]
pub struct Counts {
    /// Messages and connections that were refused, by cause.
    pub refused: Mutex<BTreeMap<&'static str, u64>>,
    pub subscriptions: AtomicU64,
    pub calls: AtomicU64,
    pub calls_unknown: AtomicU64,
    pub calls_turned_away: AtomicU64,
}

pub struct Shared {
    pub inbox: Inbox<ControllerEvent, LoadReport>,
    pub names: Names,
    pub slices: u16,
    addresses: Mutex<Addresses>,
    /// Subscriptions that were to be asked for, whether the relay could be reached or not.
    pub asked: AtomicU64,
    /// The subscription and the watch that stand.
    pub news_line: ActiveConnection,
    pub watch_line: ActiveConnection,
    pub relay_health: PeerHealth,
    pub discovery_health: PeerHealth,
    /// Accepted by the watch for each page that it tells, given back by the owner.
    pub page_room: Semphore,
    pub held: OpenDescriptors,
    pub counts: Counts,
    pub owner: Mutex<crate::owner::StatusSnapshot>,
}

impl Shared {
    pub fn new(assignment: &NodeConfig) -> Arc<Shared> {
        Arc::new(Shared {
            inbox: Inbox::new(WORDS, SUMS),
            names: assignment.names.clone(),
            slices: assignment.controller.slice_count,
            addresses: Mutex::new(Addresses {
                version: 0,
                relay: assignment.relay,
                discovery: assignment.discovery,
            }),
            asked: AtomicU64::new(0),
            news_line: ActiveConnection::default(),
            watch_line: ActiveConnection::default(),
            relay_health: PeerHealth::default(),
            discovery_health: PeerHealth::default(),
            page_room: Semphore::new(PAGES),
            held: OpenDescriptors::default(),
            counts: Counts::default(),
            owner: Mutex::default(),
        })
    }

    pub fn addresses(&self) -> Addresses {
        *self.addresses.lock().expect("no holder panics")
    }

    /// A new file counts from here on.
    pub fn move_to(&self, relay: SocketAddr, discovery: SocketAddr) -> Addresses {
        let mut addresses = self.addresses.lock().expect("no holder panics");
        *addresses = Addresses { version: addresses.version + 1, relay, discovery };
        *addresses
    }

    /// Counts what was refused; the log tells the sums now and then.
    pub fn refuse(&self, cause: &'static str) {
        self.refuse_all(cause, String::new);
    }

    /// The same, and shows the first, second, fourth and so on of a cause: floods cost the log little.
    pub fn refuse_all(&self, cause: &'static str, what: impl FnOnce() -> String) {
        let mut refused = self.counts.refused.lock().expect("no holder panics");
        let count = refused.entry(cause).or_default();
        *count += 1;
        let count = *count;
        drop(refused);
        if count.is_power_of_two() {
            let what = what();
            tracing::info!(cause, count, what, "refused");
        }
    }
}

pub fn cause(spoilt: InvalidEntry) -> &'static str {
    match spoilt {
        InvalidEntry::Unreadable => "unreadable",
        InvalidEntry::Fields => "fields",
        InvalidEntry::Range => "range",
        InvalidEntry::Unknown => "unknown",
        InvalidEntry::Kind => "kind",
    }
}

/// Counts a descriptor while it lives.
pub struct DescriptorGuard<'a>(&'a AtomicUsize);

impl<'a> DescriptorGuard<'a> {
    pub fn one(count: &'a AtomicUsize) -> DescriptorGuard<'a> {
        count.fetch_add(1, Ordering::Relaxed);
        DescriptorGuard(count)
    }
}

impl Drop for DescriptorGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
