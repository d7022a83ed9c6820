//! Workload traces: the operations that arrived, with their arrival time and, where known, key and work.
//!
//! A trace has one of two sources. Clients record each operation. A controller records aggregates from load reports:
//! the number of operations of one class on one slice that one proxy forwarded within a span of time. A row of an
//! aggregate has neither key nor work.
//!
//! [`file`] reads and writes trace files, [`cut`] selects rows, [`scale`] changes the rate and the duration of a trace,
//! [`fit`] fits distributions and [`show`] computes a summary. Only [`file`] does I/O.
#![warn(missing_docs)]

pub mod cut;
pub mod file;
pub mod fit;
pub mod scale;
pub mod show;

/// Maximum number of operations in a trace that is scaled or replayed; bounds memory.
pub const MAX_OPERATIONS: u64 = 50_000_000;

/// Rows of one recording, ordered by time. Times are seconds since the start of the recording.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Trace {
    /// Class and zone names and dimensions that the rows refer to.
    pub header: TraceHeader,
    /// Single operations and aggregates of operations.
    pub rows: Vec<TraceRow>,
}

/// Metadata of a trace, common to all rows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TraceHeader {
    /// Class names, indexed by [`TraceRow::class`].
    pub classes: Vec<String>,
    /// Zone names, indexed by [`TraceRow::zone`].
    pub zones: Vec<String>,
    /// Number of slices of the key space; 0 if the key space was not partitioned.
    pub slices: u32,
    /// Number of proxies; 0 if unknown.
    pub proxies: u32,
    /// Length of the recording in seconds.
    pub length: f64,
}

/// One operation, or an aggregate of operations that differ only in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TraceRow {
    /// Arrival time in seconds since the start of the recording; for an aggregate, the end of its span.
    pub at: f64,
    /// Index of the class.
    pub class: u32,
    /// Index of the slice.
    pub slice: u32,
    /// Index of the zone.
    pub zone: u32,
    /// Index of the proxy.
    pub proxy: u32,
    /// The key, if known.
    pub key: Option<u64>,
    /// Work in core seconds on a host of speed 1, if known.
    pub work: Option<f64>,
    /// Number of operations that the row stands for.
    pub count: u32,
    /// Length in seconds of the period up to `at` in which an aggregate's operations arrived; 0 for a single operation.
    pub span: f64,
}

impl Trace {
    /// Total number of operations of all rows.
    pub fn operations(&self) -> u64 {
        self.rows.iter().map(|row| u64::from(row.count)).sum()
    }

    /// Sorts the rows by time; rows with equal times keep their order.
    pub fn sort(&mut self) {
        self.rows.sort_by(|left, right| left.at.total_cmp(&right.at));
    }
}

#[cfg(test)]
pub(crate) mod samples;
