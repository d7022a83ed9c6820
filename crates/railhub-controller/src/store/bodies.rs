//! Bodies of the requests and responses that a controller and the store exchange. The store defines their JSON names.
use crate::core::AcquiredSlice;
use railhub::{HostId, Seconds, SliceAssignment, SliceHandoff, SliceId, WeightedHost};
use railhub_membership::lease_messages::LeaseResponse;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Version of the handoff format that this program reads and writes.
const HANDOFF_VERSION: u32 = 1;
/// Largest number of operations per second that is accepted in a handoff.
const MAX_HANDOFF_RATE: f64 = 1e9;
/// Longest time that a handoff may pin a slice for.
const MAX_HANDOFF_PIN: Seconds = 3600.0;

/// A slice's table in the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoredTable {
    /// The slice.
    pub slice: u16,
    /// The epoch of the lease under which it is written; 0 if slices are not shared.
    #[serde(default)]
    pub epoch: u64,
    /// The hosts with their weights.
    pub lines: Vec<(SocketAddr, f64)>,
    /// The handoff of the slice's previous holder: a [`StoredHandoff`], unless it has a version that this program does
    /// not read.
    #[serde(rename = "state", default, skip_serializing_if = "Option::is_none")]
    pub handoff: Option<serde_json::Value>,
    /// Seconds since the handoff was written, by the store's clock.
    #[serde(default)]
    pub age: f64,
}

/// The handoff of a slice's previous holder, stored with the table. Programs with fewer fields leave the others out; a
/// handoff of another version is ignored.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoredHandoff {
    /// Version of the handoff format.
    pub version: u32,
    /// The slice's operations per second.
    pub rate: f64,
    /// Seconds until the slice may be moved to another host again.
    #[serde(rename = "rests")]
    pub pinned_for: f64,
    /// The host that the slice was moved away from and is to return to.
    #[serde(rename = "home", default)]
    pub preferred_host: Option<String>,
}

/// The store's response to a lease request, with the tables of newly granted slices.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LeasedTables {
    /// The leases that were granted and refused.
    #[serde(rename = "says")]
    pub response: LeaseResponse,
    /// The tables of newly granted slices.
    pub tables: Vec<StoredTable>,
}

impl From<&SliceHandoff> for StoredHandoff {
    fn from(handoff: &SliceHandoff) -> StoredHandoff {
        StoredHandoff {
            version: HANDOFF_VERSION,
            rate: handoff.rate,
            pinned_for: handoff.pinned_for,
            preferred_host: handoff.preferred_host.map(|host| host.to_string()),
        }
    }
}

impl StoredHandoff {
    /// The handoff, or `None` if it has another version or a value out of range.
    fn validate(&self) -> Option<SliceHandoff> {
        let preferred_host = match &self.preferred_host {
            Some(name) => Some(HostId::new(name)?),
            None => None,
        };
        let is_in_range = (0.0..=MAX_HANDOFF_RATE).contains(&self.rate)
            && (0.0..=MAX_HANDOFF_PIN).contains(&self.pinned_for);
        let is_valid = self.version == HANDOFF_VERSION && is_in_range;
        is_valid.then_some(SliceHandoff { rate: self.rate, pinned_for: self.pinned_for, preferred_host })
    }
}

impl StoredTable {
    /// A table without entries.
    pub fn empty(slice: u16) -> StoredTable {
        StoredTable { slice, epoch: 0, lines: Vec::new(), handoff: None, age: 0.0 }
    }

    /// A table to be written to the store. Hosts whose names are not socket addresses are left out.
    pub(super) fn for_write(
        slice: SliceId,
        epoch: u64,
        entries: &[WeightedHost],
        handoff: Option<&StoredHandoff>,
    ) -> StoredTable {
        let lines = entries.iter().filter_map(|entry| Some((entry.host.address()?, entry.weight)));
        let handoff = handoff.and_then(|handoff| serde_json::to_value(handoff).ok());
        StoredTable { slice: slice.0, epoch, lines: lines.collect(), handoff, age: 0.0 }
    }

    /// The slice and its table, for the decision engine.
    pub fn into_assignment(self) -> SliceAssignment {
        SliceAssignment::Assigned { slice: SliceId(self.slice), entries: self.into_entries() }
    }

    /// The slice as acquired under a lease of this epoch. An invalid handoff is ignored.
    pub fn into_acquired_slice(self, epoch: u64) -> AcquiredSlice {
        let handoff = self.valid_handoff();
        if self.handoff.is_some() && handoff.is_none() {
            tracing::warn!(slice = self.slice, "invalid slice handoff ignored");
        }
        let handoff = handoff.zip(Some(self.age)).filter(|(_, age)| *age >= 0.0);
        AcquiredSlice { slice: SliceId(self.slice), entries: self.into_entries(), epoch, handoff }
    }

    fn into_entries(self) -> Vec<WeightedHost> {
        let entries = self.lines.into_iter();
        entries.map(|(host, weight)| WeightedHost { host: host.into(), weight }).collect()
    }

    fn valid_handoff(&self) -> Option<SliceHandoff> {
        let stored: StoredHandoff = serde_json::from_value(self.handoff.clone()?).ok()?;
        stored.validate()
    }
}

#[cfg(test)]
mod tests;
