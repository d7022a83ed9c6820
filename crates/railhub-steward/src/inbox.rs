//! What the owner is told.
use railhub::{EndpointList, HealthCheckResult, ProxyId, SliceAssignment, SliceId, ZoneId};
use railhub_proto::{LoadReport, Subscribe};
use std::sync::Arc;

use crate::kernel::SliceAcquired;
use crate::streams::StreamHandle;

/// Words and sums that may wait: some seconds' worth from thousands of proxies.
const WORDS: usize = 16 << 10;
const SUMS: usize = 8 << 10;

/// One connection of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamId(pub u64);

pub enum OwnerEvent {
    List(EndpointList),
    Charges(Vec<SliceAssignment>),
    /// Where stewards share: slices with the epochs that they came under, those that are another's, and those whose
    /// leases are over.
    Grants {
        gained: Vec<SliceAcquired>,
        lost: Vec<SliceId>,
        lapsed: Vec<SliceId>,
    },
    Probe(HealthCheckResult),
    Joins {
        stream: StreamId,
        subscribe: Subscribe,
        door: Arc<StreamHandle>,
    },
    Leaves {
        stream: StreamId,
        proxy: ProxyId,
        why: String,
    },
    Ack {
        stream: StreamId,
        proxy: ProxyId,
        nonce: u64,
    },
    Nack {
        stream: StreamId,
        proxy: ProxyId,
        nonce: u64,
        reason: String,
    },
    Stop,
}

pub struct Report {
    pub stream: StreamId,
    pub proxy: ProxyId,
    pub zone: ZoneId,
    pub sums: LoadReport,
}

pub type Inbox = railhub_net::Inbox<OwnerEvent, Report>;

pub fn inbox() -> Inbox {
    Inbox::new(WORDS, SUMS)
}
