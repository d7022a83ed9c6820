//! Limits how fast joining proxies get their snapshots: a snapshot has hundreds of lines, and all proxies join at once
//! after a restart. Does no I/O and reads no clock.

/// Fraction of the backlog limit that snapshots may fill, including the deltas that wait. The rest is for the updates of
/// the decision engine: its own backlog counts their lines until they are acknowledged, but does not count snapshots.
const SNAPSHOT_BACKLOG_FRACTION: f64 = 0.5;

/// Whether a snapshot of `snapshot_lines` may be sent while `waiting_lines` are in the backlog. It always may if the
/// backlog is empty: a snapshot larger than the fraction must not keep a proxy from joining forever.
pub fn snapshot_fits(waiting_lines: f64, snapshot_lines: f64, backlog_limit: f64) -> bool {
    waiting_lines <= 0.0 || waiting_lines + snapshot_lines <= backlog_limit * SNAPSHOT_BACKLOG_FRACTION
}

#[cfg(test)]
mod tests;
