//! The controller's state of one host.
//!
//! Its phase follows the endpoint list: ready, draining, gone. A ready host is usable unless it is down, which the
//! health checks decide. A host that is removed from the list while it is usable stays ready (`is_delisted`) until its
//! health checks fail, and then is gone. Only usable hosts own slices.
//!
//! Reasons why a host receives no operations, and the modules that decide on them:
//! - *draining* or *gone*: listed as such, or removed from the endpoint list (`endpoint_list`);
//! - *down*: its health checks failed, or it has not passed its first one (`health_check`, `endpoint_list`);
//! - *ejected*: its health score is the outlier; it stays usable but owns no slice (`outlier_ejection`);
//! - *excluded*: it is not usable while tables still name it, so proxies skip it (`exclusion`);
//! - none of these: no slice was placed on it (`placement`).
use super::health_score::ZoneHealthScore;
use super::service_time::ServiceTime;
use crate::interface::{EndpointEntry, HostKindId, Phase, Seconds, ZoneId};
use std::collections::BTreeMap;

/// Seconds after which a host that is gone may be forgotten.
const GONE_HOST_RETENTION: Seconds = 20.0;

/// A host that an endpoint list has named.
#[derive(Default)]
pub struct Host {
    pub phase: Phase,
    /// Its size: the number of cores, or another weight given by the list.
    pub weight: f64,
    pub kind: HostKindId,
    /// When it last started, according to the list.
    pub started_at: Option<Seconds>,
    /// When it began to warm up: at its last start, or when it was reached again after it was unreachable.
    pub warming_since: Option<Seconds>,
    /// Its health scores, by the zone of the proxies.
    pub zone_scores: BTreeMap<ZoneId, ZoneHealthScore>,
    pub service_time: ServiceTime,
    /// When it last passed a health check, completed an operation, or was named by a stored table; 0 if it never did.
    pub last_success_at: Seconds,
    /// When a report last showed no successful attempt.
    pub last_failure_at: Seconds,
    /// Failed health checks since the last one that passed.
    pub failed_checks: u32,
    /// The last failed health check reached no process.
    pub is_unreachable: bool,
    /// Its health checks failed, or it was listed and has not passed a health check yet.
    pub is_down: bool,
    /// It was removed from the list but may stay in service.
    pub is_delisted: bool,
    /// When it was removed from the list or listed as gone, or when it went down after it had been removed.
    pub gone_at: Seconds,
    /// Consecutive ticks in which its expected latency was too far above the median.
    pub lagging_ticks: u32,
}

impl Host {
    /// Creates a host that is listed for the first time.
    pub fn new(entry: &EndpointEntry) -> Host {
        let EndpointEntry { phase, started_at, weight, kind, .. } = *entry;
        Host { phase, weight, kind, started_at, warming_since: started_at, ..Host::default() }
    }

    /// Removes the host from the list, or marks it as listed as gone. `may_serve`: a usable host stays in service.
    pub fn delist(&mut self, now: Seconds, may_serve: bool) {
        self.is_delisted = may_serve && self.is_usable();
        if self.phase != Phase::Gone {
            self.gone_at = now;
        }
        self.phase = if self.is_delisted { Phase::Ready } else { Phase::Gone };
    }

    /// Whether it may own slices.
    pub fn is_usable(&self) -> bool {
        self.phase == Phase::Ready && !self.is_down
    }

    /// Whether it has been gone for long enough to be forgotten.
    pub fn is_expired(&self, now: Seconds) -> bool {
        self.phase == Phase::Gone && now - self.gone_at > GONE_HOST_RETENTION
    }
}
