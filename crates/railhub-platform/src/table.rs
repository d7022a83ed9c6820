//! The table of a slice as the store holds it: one entry per host, with its weight.
use railhub::WeightedHost;

/// The entries of one slice's table.
pub(crate) type Table = Vec<WeightedHost>;

/// Weights of an entry that differ by at most this much count as equal: the relay rounds weights to few decimal places,
/// so it returns a standby's weight as 0.
const WEIGHT_TOLERANCE: f64 = 0.005;

fn weights_match(first: f64, second: f64) -> bool {
    (first - second).abs() <= WEIGHT_TOLERANCE
}

/// Sets one entry of a table; weight 0 removes the host. With a single owner, a new owner replaces the previous one.
pub(crate) fn set_weight(table: &mut Table, entry: WeightedHost, single_owner: bool) {
    let replaces_owner = single_owner && entry.weight > 0.0;
    table.retain(|stored| stored.host != entry.host && !replaces_owner);
    if entry.weight > 0.0 {
        table.push(entry);
    }
}

/// Whether a table shows the effect of a command: it contains the entry, or lacks the host if the weight is 0.
pub(crate) fn has_entry(table: &[WeightedHost], entry: WeightedHost) -> bool {
    match table.iter().find(|stored| stored.host == entry.host) {
        Some(stored) => entry.weight > 0.0 && weights_match(stored.weight, entry.weight),
        None => entry.weight == 0.0,
    }
}

/// Whether two tables have the same entries, in any order.
pub(crate) fn tables_match(known: &[WeightedHost], stored: &[WeightedHost]) -> bool {
    let is_stored = |entry: &WeightedHost| {
        stored.iter().any(|other| other.host == entry.host && weights_match(other.weight, entry.weight))
    };
    known.len() == stored.len() && known.iter().all(is_stored)
}
