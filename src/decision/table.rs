//! The table of a slice: the desired entries, the urgency of a change, and the lines that make the change.
//!
//! A table names the owner of the slice with weight 1 and its standby with a weight too small to attract first
//! attempts: the standby receives only retries, when the owner refuses an attempt or cannot be reached. If slices have
//! a single owner, the table names only the owner.
use crate::interface::{HostId, WeightedHost};

/// Weight of an owner.
const OWNER_WEIGHT: f64 = 1.0;
/// Weight of a standby; the owner has weight 1.
pub const STANDBY_WEIGHT: f64 = 0.0001;

/// The urgency of publishing a table, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// The published table names no usable host.
    NoUsableHost,
    /// The published table does not name the owner.
    OwnerChanged,
    /// Anything else, such as a new standby.
    Other,
}

/// The table that a slice should have.
pub fn desired_table(
    owner: Option<HostId>,
    standby: Option<HostId>,
    single_owner: bool,
) -> Vec<WeightedHost> {
    let Some(owner) = owner else { return Vec::new() };
    let mut table = vec![WeightedHost { host: owner, weight: OWNER_WEIGHT }];
    if let Some(standby) = standby.filter(|_| !single_owner) {
        table.push(WeightedHost { host: standby, weight: STANDBY_WEIGHT });
    }
    table
}

/// The urgency of replacing the published table.
pub fn urgency(
    published: &[WeightedHost],
    owner: Option<HostId>,
    is_usable: impl Fn(HostId) -> bool,
) -> Urgency {
    let names_owner = |owner| published.contains(&WeightedHost { host: owner, weight: OWNER_WEIGHT });
    if !published.iter().any(|entry| is_usable(entry.host)) {
        Urgency::NoUsableHost
    } else if !owner.is_some_and(names_owner) {
        Urgency::OwnerChanged
    } else {
        Urgency::Other
    }
}

/// Whether two tables have the same entries, apart from the rounding of weights by the store.
pub fn tables_match(first: &[WeightedHost], second: &[WeightedHost]) -> bool {
    changes(first, second).is_empty()
}

/// The lines that turn the published table into the desired one. New hosts come first, so that the table is never empty
/// in between. The store may have rounded the weights, that of a standby to 0; such differences are ignored.
pub fn changes(published: &[WeightedHost], desired: &[WeightedHost]) -> Vec<WeightedHost> {
    let mut lines = Vec::new();
    for entry in desired {
        let is_published = |old: &WeightedHost| {
            old.host == entry.host && (old.weight - entry.weight).abs() <= STANDBY_WEIGHT
        };
        if !published.iter().any(is_published) {
            lines.push(*entry);
        }
    }
    for old in published {
        if desired.iter().all(|entry| entry.host != old.host) {
            lines.push(WeightedHost { host: old.host, weight: 0.0 });
        }
    }
    lines
}
