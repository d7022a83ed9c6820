//! How fast proxies that come are let in: a snapshot is hundreds of lines, and all proxies come at once after
//! a restart. Free of I/O and of clocks.

/// Share of the backlog that snapshots may fill: the rest is for what the decisions order, whose own share
/// counts the same lines only once they are confirmed.
const JOINS_USE: f64 = 0.5;

/// Whether a snapshot of so many lines may leave now. One always may when nothing waits: a snapshot larger
/// than the share must not shut a proxy out for ever.
pub fn may_join(waiting: f64, snapshot: f64, backlog: f64) -> bool {
    waiting <= 0.0 || waiting + snapshot <= backlog * JOINS_USE
}

#[cfg(test)]
mod tests;
