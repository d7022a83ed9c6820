//! A slice's table as the store holds it: one line a host, each with a weight.
use railhub::WeightedHost;

/// The lines of one slice's table.
pub(crate) type Table = Vec<WeightedHost>;

/// By how much two weights of a line may differ and count as equal: the relay rounds weights to few decimals, so that
/// a standby's weight comes back as 0.
const WEIGHT_TOLERANCE: f64 = 0.005;

fn weights_match(first: f64, second: f64) -> bool {
    (first - second).abs() <= WEIGHT_TOLERANCE
}

/// Applies one line to a table; weight 0 removes the host. With a single owner, a new owner replaces the former one.
pub(crate) fn set_weight(table: &mut Table, line: WeightedHost, single_owner: bool) {
    let replaces_owner = single_owner && line.weight > 0.0;
    table.retain(|stored| stored.host != line.host && !replaces_owner);
    if line.weight > 0.0 {
        table.push(line);
    }
}

/// Whether a table has the line that a command sets, or lacks it where the command removes it.
pub(crate) fn has_line(table: &[WeightedHost], line: WeightedHost) -> bool {
    match table.iter().find(|stored| stored.host == line.host) {
        Some(stored) => line.weight > 0.0 && weights_match(stored.weight, line.weight),
        None => line.weight == 0.0,
    }
}

/// Whether two tables have the same lines, in any order.
pub(crate) fn tables_match(believed: &[WeightedHost], stored: &[WeightedHost]) -> bool {
    let is_stored = |line: &WeightedHost| {
        stored.iter().any(|other| other.host == line.host && weights_match(other.weight, line.weight))
    };
    believed.len() == stored.len() && believed.iter().all(is_stored)
}
