//! Reads batches of the wire from standard input and answers each on standard output.
mod conf;
mod fields;
mod host;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut machine = host::Machine::default();
    let stdin = io::stdin();
    let mut out = io::BufWriter::new(io::stdout().lock());
    for line in stdin.lock().lines() {
        let fed = line
            .map_err(|e| format!("standard input: {e}"))
            .and_then(|line| machine.feed(line.trim_end_matches('\r')));
        let (reply, code) = match fed {
            Ok(None) => continue,
            Ok(Some(reply)) => (reply, None),
            Err(words) => {
                eprintln!("railhub-adapter: {words}");
                (format!("DIE words={words}\nDONE\n"), Some(ExitCode::FAILURE))
            }
        };
        if out.write_all(reply.as_bytes()).and_then(|()| out.flush()).is_err() {
            return ExitCode::FAILURE;
        }
        if let Some(code) = code {
            return code;
        }
    }
    ExitCode::SUCCESS
}
