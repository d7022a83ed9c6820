//! Runs the decision engine as an external process: a program that reads event batches in the adapter's protocol from
//! its standard input and writes a reply to each batch to its standard output.
//!
//! [`wire`] encodes and decodes the protocol without I/O; [`process`] runs the program; [`variant`] builds programs
//! whose decisions use other constants, which are looked up by name in [`constant_names`]. An external engine receives
//! the same events as the decision engine in this process, with times rounded to microseconds.
#![warn(missing_docs)]

pub mod constant_names;
pub mod process;
pub mod variant;
pub mod wire;

pub use process::{EngineError, ExternalEngine};
