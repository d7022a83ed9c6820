//! A slice's table as the store holds it: one line a host, each with a weight.
use railhub::HostId;

/// The lines of one slice's table.
pub(crate) type Table = Vec<(HostId, f64)>;

/// By how much two weights of a line may differ and count as equal: the relay rounds weights to few decimals, so that
/// a standby's weight comes back as 0.
const WEIGHT_TOLERANCE: f64 = 0.005;

fn weights_match(first: f64, second: f64) -> bool {
    (first - second).abs() <= WEIGHT_TOLERANCE
}

/// Applies one line to a table; weight 0 removes the host. With a single owner, a new owner replaces the former one.
pub(crate) fn set_weight(table: &mut Table, host: HostId, weight: f64, single_owner: bool) {
    let replaces_owner = single_owner && weight > 0.0;
    table.retain(|line| line.0 != host && !replaces_owner);
    if weight > 0.0 {
        table.push((host, weight));
    }
}

/// Whether a table has the line that a command sets, or lacks it where the command removes it.
pub(crate) fn has_line(table: &[(HostId, f64)], host: HostId, weight: f64) -> bool {
    match table.iter().find(|line| line.0 == host) {
        Some((_, stored)) => weight > 0.0 && weights_match(*stored, weight),
        None => weight == 0.0,
    }
}

/// Whether two tables have the same lines, in any order.
pub(crate) fn tables_match(believed: &[(HostId, f64)], stored: &[(HostId, f64)]) -> bool {
    let is_stored = |(host, weight): &(HostId, f64)| {
        stored.iter().any(|(other, other_weight)| other == host && weights_match(*other_weight, *weight))
    };
    believed.len() == stored.len() && believed.iter().all(is_stored)
}
