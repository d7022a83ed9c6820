//! A host, as a controller knows it.
//!
//! Its phase follows the endpoint list: ready, draining, gone. A ready host is usable unless it is down, which the
//! health checks decide. One that the list drops while it is usable stays ready (`is_delisted`) and is gone when
//! its health checks fail. Only usable hosts own slices.
//!
//! Why a host gets no operations, and where that is decided:
//! - *draining* or *gone*: the endpoint list says so (`endpoint_list`);
//! - *down*: its health checks failed, or it has not passed its first (`health_check`, `endpoint_list`);
//! - *ejected*: its health score is the outlier; it stays usable and owns no slice (`outlier_ejection`);
//! - *excluded*: it is not usable, and tables still name it: proxies skip it at once (`exclusion`);
//! - none of these: no slice was placed on it (`placement`).
use super::health_score::ZoneHealthScore;
use super::service_time::ServiceTime;
use crate::interface::{EndpointEntry, HostKindId, Phase, Seconds, ZoneId};
use std::collections::BTreeMap;

/// Seconds after which a host that is gone is forgotten.
const GONE_HOST_RETENTION: Seconds = 20.0;

/// A host that the endpoint list has named.
#[derive(Default)]
pub struct Host {
    pub phase: Phase,
    /// Its size: cores, or what the list weighs it by.
    pub weight: f64,
    pub kind: HostKindId,
    /// When it last started, by the list.
    pub started_at: Option<Seconds>,
    /// When it began to warm up: its last start, or when it was reached again.
    pub warming_since: Option<Seconds>,
    /// Its health, as the proxies of each zone see it.
    pub zone_scores: BTreeMap<ZoneId, ZoneHealthScore>,
    pub service_time: ServiceTime,
    /// When it last passed a health check, completed an operation, or was named by a stored table; 0: never.
    pub last_success_at: Seconds,
    /// When a report last showed failed attempts alone.
    pub last_failure_at: Seconds,
    /// Failed health checks since the last that passed.
    pub failed_checks: u32,
    /// The last failed check reached no process.
    pub is_unreachable: bool,
    /// Its health checks failed, or it was listed and has not passed one yet.
    pub is_down: bool,
    /// The list lacks it, and it may stay in service.
    pub is_delisted: bool,
    pub gone_at: Seconds,
    /// Ticks in a row in which its latency lagged behind the others'.
    pub lagging_ticks: u32,
}

impl Host {
    /// A host that the list names for the first time.
    pub fn new(entry: &EndpointEntry) -> Host {
        let EndpointEntry { phase, started_at, weight, kind, .. } = *entry;
        Host { phase, weight, kind, started_at, warming_since: started_at, ..Host::default() }
    }

    /// The list has it no more, or calls it gone.
    pub fn delist(&mut self, now: Seconds, may_serve: bool) {
        self.is_delisted = may_serve && self.is_usable();
        if self.phase != Phase::Gone {
            self.gone_at = now;
        }
        self.phase = if self.is_delisted { Phase::Ready } else { Phase::Gone };
    }

    /// It may own slices.
    pub fn is_usable(&self) -> bool {
        self.phase == Phase::Ready && !self.is_down
    }

    /// It has been gone for so long that nothing is kept of it.
    pub fn is_expired(&self, now: Seconds) -> bool {
        self.phase == Phase::Gone && now - self.gone_at > GONE_HOST_RETENTION
    }
}
