//! Discrete-event simulation of the fleet: hosts, proxies, clients, and the controller's update channel, endpoint
//! list, store and load reports.
//!
//! The simulator runs the same scenario files as `railhub scenario` does on loopback. It draws the same hosts and
//! operations from the same seed, runs the controller's own core with its decisions, and writes the same kind of
//! recording, so that the same invariant checks and reports apply to both. The same scenario and policy give the
//! same recording, byte for byte, on any machine.
//!
//! An operation takes the same steps as in the emulator, each as an event: it arrives, is admitted, its proxy selects
//! a host, the attempt reaches the host, waits in its queue, is processed, and the response arrives or the attempt
//! times out. [`run`] owns all state; runs share nothing.
mod baseline;
mod controller;
mod endpoint_list;
mod events;
mod faults;
pub mod fit;
mod hosts;
mod operations;
mod simulation;

pub use baseline::Baseline;
pub use simulation::{run, run_with_proxy_seed, Policy, TimingModel};
