//! How fast proxies that join get their snapshots: a snapshot is hundreds of lines, and all proxies join at once after
//! a restart. Free of I/O and of clocks.

/// Fraction of the backlog that snapshots may fill. The rest is for what the decisions publish, whose own share counts
/// the same lines only once they are acknowledged.
const SNAPSHOT_BACKLOG_FRACTION: f64 = 0.5;

/// Whether a snapshot of so many lines may be sent while `waiting` lines wait. One always may when nothing waits: a
/// snapshot larger than the fraction must not keep a proxy out for ever.
pub fn snapshot_fits(waiting: f64, snapshot: f64, backlog: f64) -> bool {
    waiting <= 0.0 || waiting + snapshot <= backlog * SNAPSHOT_BACKLOG_FRACTION
}

#[cfg(test)]
mod tests;
