//! Lets another version of the decisions steer: a program that reads batches of the adapter's protocol from
//! its standard input and answers each on its standard output. [`wire`] is the protocol, plain functions;
//! [`process`] holds the program.
//!
//! What a version sees is what the module sees, but for the protocol's whole microseconds.
pub mod constant_names;
pub mod process;
pub mod variant;
pub mod wire;

pub use process::{Fault, Version};
