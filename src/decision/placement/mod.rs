//! Placement: which host owns each slice.
//!
//! Four rules are applied in this order: `failover` immediately moves slices off hosts that must be left; then, once a
//! tick and only if a slice may have several hosts, `failback` returns slices to their former hosts and `rebalancing`
//! moves slices by latency; finally `standby` chooses the hosts that receive retries.
pub mod failback;
pub mod failover;
pub mod rebalancing;
pub mod slice_moves;
pub mod standby;
