//! Controllers of one cluster under random faults, in simulated time and as processes on loopback.
//!
//! The package owns the fault model, the two simulations, the harness for real processes, the judges and the explorers:
//!
//! - [`config`] reads a chaos file, [`fault`] is what goes wrong and how it is drawn from a seed, [`event_queue`] orders
//!   what falls due.
//! - [`lease`]: controllers that share slices. Its simulation plays lease managers, a store and fencing proxies; its judge
//!   checks what was commanded and obeyed.
//! - [`view`]: what controllers hold of each other. Its simulation plays SWIM over lossy links; its judge checks what each
//!   process answers.
//! - [`cluster_harness`] plays the same faults on real processes.
//! - [`explorer`] searches every order of a few steps for a broken invariant.
//! - [`shrink`] leaves out faults that a failure does not need, [`breach`] is what judges report.
//!
//! The way of one run:
//! 1. A seed draws the faults ([`ChaosConfig::faults`]), unless the file lists them.
//! 2. A simulation, or the harness, applies them and records observations from outside.
//! 3. A judge that knows nothing of leases, gossip or suspicion reads the observations and lists the breaches.
//! 4. A failing run is repeated with fewer faults until each one left is needed.
//!
//! The same seed is the same run: draws, iteration and arithmetic have a fixed order.
#![warn(missing_docs)]

pub mod breach;
pub mod cluster_harness;
pub mod config;
pub mod event_queue;
pub mod explorer;
pub mod fault;
pub mod lease;
pub mod shrink;
pub mod view;

pub use config::{ChaosConfig, JudgedProperty};
pub use fault::{Fault, FaultKind, LinkFaults};
pub use lease::{LeaseObservation, Sabotage};
