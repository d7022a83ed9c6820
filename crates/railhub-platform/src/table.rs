//! A slice's table as the store holds it: one entry a host, each with a weight.
use railhub::WeightedHost;

/// The entries of one slice's table.
pub(crate) type Table = Vec<WeightedHost>;

/// By how much two weights of a entry may differ and count as equal: the relay rounds weights to few decimals, so that
/// a standby's weight comes back as 0.
const WEIGHT_TOLERANCE: f64 = 0.005;

fn weights_match(first: f64, second: f64) -> bool {
    (first - second).abs() <= WEIGHT_TOLERANCE
}

/// Applies one entry to a table; weight 0 removes the host. With a single owner, a new owner replaces the former one.
pub(crate) fn set_weight(table: &mut Table, entry: WeightedHost, single_owner: bool) {
    let replaces_owner = single_owner && entry.weight > 0.0;
    table.retain(|stored| stored.host != entry.host && !replaces_owner);
    if entry.weight > 0.0 {
        table.push(entry);
    }
}

/// Whether a table has the entry that a command sets, or lacks it where the command removes it.
pub(crate) fn has_entry(table: &[WeightedHost], entry: WeightedHost) -> bool {
    match table.iter().find(|stored| stored.host == entry.host) {
        Some(stored) => entry.weight > 0.0 && weights_match(stored.weight, entry.weight),
        None => entry.weight == 0.0,
    }
}

/// Whether two tables have the same entries, in any order.
pub(crate) fn tables_match(believed: &[WeightedHost], stored: &[WeightedHost]) -> bool {
    let is_stored = |entry: &WeightedHost| {
        stored.iter().any(|other| other.host == entry.host && weights_match(other.weight, entry.weight))
    };
    believed.len() == stored.len() && believed.iter().all(is_stored)
}
