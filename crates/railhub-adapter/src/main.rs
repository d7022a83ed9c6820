//! The decisions on the bench's wire: reads batches from standard input and answers each on standard output.
//!
//! What it owns: the instances that the bench has created, each a controller with its next batch, apart from the others.
//!
//! The way of one batch:
//! 1. `FRAME` gives the time; `AT` names the instance that the lines after it are for.
//! 2. Each line becomes an event of that instance's batch ([`events`]); `CREATE` and `DETACH` make and end instances.
//! 3. `OVER_TO_YOU` ends the batch: each instance with events decides, and its commands are written as lines
//!    ([`commands`]).
//!
//! The way of one failure: a line that is not readable ends the program, with the line, the field and what is wrong.
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

/// Takes one line; the last line of a batch brings its reply.
fn process_line(instances: &mut Instances, line: io::Result<String>) -> Result<Option<String>, WireError> {
    let line = line.map_err(WireError::Input)?;
    instances.process_line(line.trim_end_matches('\r'))
}

fn write_reply(out: &mut impl Write, reply: &str) -> io::Result<()> {
    out.write_all(reply.as_bytes())?;
    out.flush()
}
