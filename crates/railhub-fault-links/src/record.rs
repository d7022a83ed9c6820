//! The record of a run's links: one JSON object a line.
use crate::faults::{Counts, Faults};
use serde::Serialize;
use std::io::Write;

/// A line of the record. Times are seconds on the machine's monotonic clock.
#[derive(Serialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub(crate) enum RecordLine<'a> {
    /// The faults of a direction were set.
    #[serde(rename = "way")]
    FaultsSet { at: f64, from: &'a str, to: &'a str, faults: Faults },
    /// Connections were reset.
    #[serde(rename = "resets")]
    ConnectionsReset { at: f64, a: &'a str, b: &'a str, connections: usize },
    /// The packet counts of a direction in the run.
    Counts { at: f64, from: &'a str, to: &'a str, counts: Counts },
}

/// Writes the lines; without a writer they are discarded.
pub(crate) struct Record {
    writer: Option<Box<dyn Write + Send>>,
}

impl Record {
    pub(crate) fn new(writer: Option<Box<dyn Write + Send>>) -> Record {
        Record { writer }
    }

    /// Writes a line. Errors are ignored: a record that cannot be written must not stop the traffic.
    pub(crate) fn write(&mut self, line: &RecordLine) {
        if let Some(writer) = &mut self.writer {
            let _ = serde_json::to_writer(&mut *writer, line).map(|()| writer.write_all(b"\n"));
        }
    }

    pub(crate) fn flush(&mut self) {
        if let Some(writer) = &mut self.writer {
            let _ = writer.flush();
        }
    }
}
