//! A model of the fleet: hosts, proxies, clients, the steward's channel, list, store and sums in simulated time.
//!
//! One description of a day, two ways to run it: the model takes the scripts that `railhub day` plays on loopback,
//! draws the same hosts and operations from the same seed, runs the steward's own kernel with the decisions in it,
//! and writes the same record, so that the same checker and the same reports judge both. Same day, same arms: the
//! same record to the byte, on any machine.
//!
//! The way of one operation is that of the stand-ins, as events: it comes, is let in, picks, reaches a host, waits,
//! is worked on, and its answer arrives or its wait ends. [`run`] owns everything; nothing is shared between runs.
mod baseline;
mod events;
pub mod fit;
mod hosts;
mod list;
mod operations;
mod steward;
mod troubles;
mod world;

pub use baseline::Baseline;
pub use world::{run, run_with_proxy_seed, Policy, TimingModel};
