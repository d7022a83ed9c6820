//! Placement: which host owns each slice.
//!
//! Four rules are applied, in this order:
//! 1. `failover` moves slices off hosts that are not usable or are ejected, and off overloaded cold hosts. It runs
//!    once a tick, and at once when a host goes down or the endpoint list or the assigned slices change.
//! 2. `failback` returns slices to the hosts from which failover moved them, once a tick.
//! 3. `rebalancing` moves slices by latency, once a tick.
//! 4. `standby` chooses the hosts that receive retries.
//!
//! With a single owner, `failback` and `rebalancing` are not applied, because a move interrupts the slice. The first
//! three rules change the owner of a slice only through `slice_moves`.
pub mod failback;
pub mod failover;
pub mod rebalancing;
pub mod slice_moves;
pub mod standby;
