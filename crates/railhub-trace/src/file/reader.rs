//! Decoding of a trace file; checks the order of the blocks and the validity of every row.
//!
//! Block 1 must be the header, followed by row blocks and one end block. If the bytes end after the header but before
//! the end block, the trace is truncated.
use super::blocks::{
    next_frame, Block, EndBlock, HeaderBlock, Part, RowsBlock, MAGIC, MAGIC_PREFIX, MAX_BLOCK_ROWS,
    TICKS_PER_SECOND,
};
use super::error::TraceError;
use crate::{Trace, TraceHeader, TraceRow};
use prost::Message;

/// Upper bound of slice and proxy indexes, exclusive: users of a trace allocate lists of that length.
const MAX_INDEX: u32 = 1 << 20;
/// Upper bound of a trace's length: a year. Bounds the memory for counts per second.
const MAX_TRACE_SECONDS: f64 = 366.0 * 86_400.0;
/// Maximum span of an aggregate, in seconds.
const MAX_SPAN_SECONDS: f64 = 3600.0;
/// Seconds by which a span may begin before the recording, to allow for rounding.
const SPAN_TOLERANCE_SECONDS: f64 = 1e-9;
/// Maximum number of bytes of an unsupported version that the error message shows.
const MAX_VERSION_BYTES: usize = 16;

/// A trace that was read from a file.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadedTrace {
    /// The trace; for a truncated file, the rows of its complete blocks.
    pub trace: Trace,
    /// Whether the file has no end block.
    pub truncated: bool,
}

/// Decodes a trace; `file` is the file name for error messages.
///
/// # Errors
/// If the bytes are not a trace of this version, or a block is corrupt.
pub fn read(file: &str, bytes: &[u8]) -> Result<LoadedTrace, TraceError> {
    let Some(mut rest) = bytes.strip_prefix(MAGIC) else {
        return Err(unknown_magic(file, bytes));
    };
    let mut decoder = Decoder::default();
    let mut block = 0;
    loop {
        block += 1;
        let corrupt = |reason: String| TraceError::Corrupt { file: file.to_owned(), block, reason };
        let Some(frame) = next_frame(rest).map_err(|reason| corrupt(reason.to_owned()))? else {
            return decoder.finish_truncated().map_err(|reason| corrupt(reason.to_owned()));
        };
        rest = frame.rest;
        let decoded = Block::decode(frame.body).map_err(|error| corrupt(error.to_string()))?;
        let result = match decoded.part {
            Some(Part::End(end)) if decoder.has_header => {
                return decoder.finish(&end, rest).map_err(|reason| corrupt(reason.to_owned()));
            }
            Some(Part::Header(header)) if !decoder.has_header => {
                decoder.set_header(header);
                Ok(())
            }
            Some(Part::Rows(rows)) if decoder.has_header => decoder.add_rows(&rows),
            _ => Err("its kind is not allowed here, expected one header, then rows, then the end"),
        };
        result.map_err(|reason| corrupt(reason.to_owned()))?;
    }
}

fn unknown_magic(file: &str, bytes: &[u8]) -> TraceError {
    let file = file.to_owned();
    let Some(rest) = bytes.strip_prefix(MAGIC_PREFIX) else {
        return TraceError::NotATrace(file);
    };
    let line = rest.split(|byte| *byte == b'\n').next().unwrap_or_default();
    let version = String::from_utf8_lossy(&line[..line.len().min(MAX_VERSION_BYTES)]).into_owned();
    TraceError::UnsupportedVersion { file, version }
}

/// The part of the trace that has been decoded so far.
#[derive(Default)]
struct Decoder {
    trace: Trace,
    has_header: bool,
    last_ticks: i64,
}

impl Decoder {
    fn set_header(&mut self, header: HeaderBlock) {
        let HeaderBlock { classes, zones, slices, proxies } = header;
        self.trace.header = TraceHeader { classes, zones, slices, proxies, length: 0.0 };
        self.has_header = true;
    }

    fn add_rows(&mut self, block: &RowsBlock) -> Result<(), &'static str> {
        if !columns_match(block) {
            return Err("its columns differ in length or have more than 2048 rows");
        }
        for index in 0..block.at.len() {
            let ticks = self.last_ticks.checked_add(block.at[index]);
            self.last_ticks = ticks.ok_or("the time of a row is out of range")?;
            let row = decode_row(block, index, self.last_ticks);
            check_row(&row, &self.trace.header)?;
            self.trace.rows.push(row);
        }
        Ok(())
    }

    fn finish(mut self, end: &EndBlock, rest: &[u8]) -> Result<LoadedTrace, &'static str> {
        if end.rows != self.trace.rows.len() as u64 || !rest.is_empty() {
            return Err("the number of rows in the end block does not match, or bytes follow it");
        }
        if !(0.0..MAX_TRACE_SECONDS).contains(&end.length) {
            return Err("the length of the trace is not between 0 and 366 days");
        }
        self.trace.header.length = end.length;
        self.trace.sort();
        Ok(LoadedTrace { trace: self.trace, truncated: false })
    }

    fn finish_truncated(mut self) -> Result<LoadedTrace, &'static str> {
        if !self.has_header {
            return Err("the file ends before the end of the header");
        }
        self.trace.sort();
        self.trace.header.length = self.trace.rows.last().map_or(0.0, |row| row.at);
        Ok(LoadedTrace { trace: self.trace, truncated: true })
    }
}

fn columns_match(block: &RowsBlock) -> bool {
    let rows = block.at.len();
    let required = [&block.class, &block.slice, &block.zone, &block.proxy];
    let optional = [&block.key, &block.work, &block.span];
    let required_match = required.iter().all(|column| column.len() == rows);
    let optional_match = optional.iter().all(|column| column.is_empty() || column.len() == rows);
    let count_matches = block.count.is_empty() || block.count.len() == rows;
    required_match && optional_match && count_matches && rows <= MAX_BLOCK_ROWS
}

fn decode_row(block: &RowsBlock, index: usize, ticks: i64) -> TraceRow {
    let cell = |column: &[u64]| column.get(index).copied().unwrap_or(0);
    let work_ticks = cell(&block.work).checked_sub(1);
    TraceRow {
        at: ticks as f64 / TICKS_PER_SECOND,
        class: block.class[index],
        slice: block.slice[index],
        zone: block.zone[index],
        proxy: block.proxy[index],
        key: cell(&block.key).checked_sub(1),
        work: work_ticks.map(|ticks| ticks as f64 / TICKS_PER_SECOND),
        count: block.count.get(index).copied().unwrap_or(1),
        span: cell(&block.span) as f64 / TICKS_PER_SECOND,
    }
}

fn check_row(row: &TraceRow, header: &TraceHeader) -> Result<(), &'static str> {
    let indexes_known = (row.class as usize) < header.classes.len()
        && (row.zone as usize) < header.zones.len()
        && row.slice < header.slices.clamp(1, MAX_INDEX)
        && row.proxy < MAX_INDEX;
    if !indexes_known {
        return Err("the class, zone, slice or proxy index of a row is out of range");
    }
    let max_span = MAX_SPAN_SECONDS.min(row.at.max(0.0) + SPAN_TOLERANCE_SECONDS);
    if !(0.0..MAX_TRACE_SECONDS).contains(&row.at) || row.span > max_span {
        return Err("the time or span of a row is out of range");
    }
    Ok(())
}
