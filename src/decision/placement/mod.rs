//! Placement: which host owns each slice.
//!
//! Four rules, in this order: `failover` at once, for slices of hosts that must be left; then, once a tick and only
//! where slices may have several hosts, `failback` to where a slice came from and `rebalancing` by latency; then
//! `standby`, the host that retries meet.
pub mod failback;
pub mod failover;
pub mod rebalancing;
pub mod slice_moves;
pub mod standby;
