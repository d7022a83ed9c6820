//! Owns running the decisions as an external process: a program that reads event batches in the adapter's protocol
//! from its standard input and answers each on its standard output.
//!
//! [`wire`] is the protocol, free of I/O; [`process`] runs the program; [`variant`] builds programs whose decisions
//! have other constants, by the names of [`constant_names`]. An external engine sees what the decisions in this
//! process see, with times rounded to microseconds.
#![warn(missing_docs)]

pub mod constant_names;
pub mod process;
pub mod variant;
pub mod wire;

pub use process::{EngineError, ExternalEngine};
