//! Tests the controllers of one cluster under random faults, in simulated time and as processes on the loopback
//! interface.
//!
//! The package contains the fault model, the two simulations, the harness for real processes, the judges and the
//! explorers:
//!
//! - [`config`] reads a chaos file, [`fault`] defines the faults and draws them from a seed, [`event_queue`] orders
//!   simulated events by time.
//! - [`lease`]: lease runs, in which controllers divide the slices among themselves by leases. The simulation runs lease
//!   managers, a store and fencing proxies; the judge checks which commands were issued and obeyed.
//! - [`view`]: view runs, in which controllers maintain membership views of the cluster. The simulation runs SWIM over
//!   lossy links; the judge checks the views that each process reports.
//! - [`cluster_harness`] applies the same faults to real processes.
//! - [`explorer`] searches every order of a small number of steps for a violated invariant.
//! - [`shrink`] removes faults that a failure does not need, [`breach`] is the result that judges report.
//!
//! The steps of one run:
//! 1. The faults are drawn from a seed ([`ChaosConfig::faults`]), unless the file lists them.
//! 2. A simulation or the harness applies them and records what an external observer sees.
//! 3. A judge reads these observations and lists the breaches. It has no knowledge of leases, gossip or suspicion.
//! 4. A failing run is repeated with fewer faults until each remaining one is needed.
//!
//! Simulated runs are reproducible: the same seed gives the same run, because draws, iteration and arithmetic have a fixed order.
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
