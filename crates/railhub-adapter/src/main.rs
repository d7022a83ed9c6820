//! Connects the controller of `railhub` to the line protocol of a test bench: reads batches of events from standard
//! input and writes a reply to each batch to standard output.
//!
//! The adapter holds the instances that the bench has created. Each instance is a controller with its next batch, and
//! the instances are independent of each other.
//!
//! Processing of a batch:
//! 1. `FRAME` gives the time; `AT` selects the instance that the following lines are for.
//! 2. Each line adds an event to the batch of that instance ([`events`]); `CREATE` and `DETACH` create and remove
//!    instances.
//! 3. `OVER_TO_YOU` ends the batch: each instance with events handles its batch, and its commands are written as lines
//!    ([`commands`]).
//!
//! An invalid line ends the program with an error that names the line, the field and the problem.
#![warn(missing_docs)]
mod commands;
mod error;
mod events;
mod instances;
mod settings;
mod wire_line;

use error::WireError;
use instances::Instances;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut instances = Instances::default();
    let stdin = io::stdin();
    let mut out = io::BufWriter::new(io::stdout().lock());
    for line in stdin.lock().lines() {
        let reply = match process_line(&mut instances, line) {
            Ok(None) => continue,
            Ok(Some(reply)) => reply,
            Err(error) => {
                eprintln!("railhub-adapter: {error}");
                let _ = write_reply(&mut out, &format!("DIE words={error}\nDONE\n"));
                return ExitCode::FAILURE;
            }
        };
        if write_reply(&mut out, &reply).is_err() {
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

/// Processes one line; returns the reply if the line ends a batch.
fn process_line(instances: &mut Instances, line: io::Result<String>) -> Result<Option<String>, WireError> {
    let line = line.map_err(WireError::Input)?;
    instances.process_line(line.trim_end_matches('\r'))
}

fn write_reply(out: &mut impl Write, reply: &str) -> io::Result<()> {
    out.write_all(reply.as_bytes())?;
    out.flush()
}
