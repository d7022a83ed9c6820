//! Writing of a trace: rows are collected in a block, which is written when it is full or flushed.
use super::blocks::{
    write_block, EndBlock, HeaderBlock, Part, RowsBlock, MAGIC, MAX_BLOCK_ROWS, TICKS_PER_SECOND,
};
use crate::{Trace, TraceHeader, TraceRow};
use std::io::{self, Write};

/// Writes a trace row by row.
pub struct TraceWriter<W: Write> {
    output: W,
    block: RowsBlock,
    last_ticks: i64,
    rows: u64,
    /// Latest time of a row so far, in seconds.
    last_row_at: f64,
}

impl<W: Write> TraceWriter<W> {
    /// Writes the magic line and the header.
    ///
    /// # Errors
    /// If the output cannot be written.
    pub fn start(mut output: W, header: &TraceHeader) -> io::Result<TraceWriter<W>> {
        output.write_all(MAGIC)?;
        let TraceHeader { classes, zones, slices, proxies, .. } = header.clone();
        write_block(&mut output, Part::Header(HeaderBlock { classes, zones, slices, proxies }))?;
        Ok(TraceWriter { output, block: RowsBlock::default(), last_ticks: 0, rows: 0, last_row_at: 0.0 })
    }

    /// Adds a row, and writes the block if it is full.
    ///
    /// # Errors
    /// If the output cannot be written.
    pub fn write_row(&mut self, row: &TraceRow) -> io::Result<()> {
        let ticks = (row.at * TICKS_PER_SECOND).round() as i64;
        let block = &mut self.block;
        block.at.push(ticks - self.last_ticks);
        block.class.push(row.class);
        block.slice.push(row.slice);
        block.zone.push(row.zone);
        block.proxy.push(row.proxy);
        block.key.push(row.key.map_or(0, |key| key.saturating_add(1)));
        block.work.push(row.work.map_or(0, |work| (work * TICKS_PER_SECOND).round() as u64 + 1));
        block.count.push(row.count);
        block.span.push((row.span * TICKS_PER_SECOND).round() as u64);
        self.last_ticks = ticks;
        self.rows += 1;
        self.last_row_at = self.last_row_at.max(row.at);
        if self.block.at.len() >= MAX_BLOCK_ROWS {
            self.flush()?;
        }
        Ok(())
    }

    /// Writes the rows added so far; they stay readable if the file is truncated after them.
    ///
    /// # Errors
    /// If the output cannot be written.
    pub fn flush(&mut self) -> io::Result<()> {
        let mut block = std::mem::take(&mut self.block);
        if !block.at.is_empty() {
            clear_default_columns(&mut block);
            write_block(&mut self.output, Part::Rows(block))?;
        }
        self.output.flush()
    }

    /// Writes the end block. `length` is the length of the recording in seconds; the latest time of a row is written
    /// instead if it is greater.
    ///
    /// # Errors
    /// If the output cannot be written.
    pub fn finish(mut self, length: f64) -> io::Result<W> {
        self.flush()?;
        let end = EndBlock { rows: self.rows, length: length.max(self.last_row_at) };
        write_block(&mut self.output, Part::End(end))?;
        self.output.flush()?;
        Ok(self.output)
    }
}

/// Empties the optional columns in which all rows have the default value.
fn clear_default_columns(block: &mut RowsBlock) {
    for column in [&mut block.key, &mut block.work, &mut block.span] {
        if column.iter().all(|value| *value == 0) {
            column.clear();
        }
    }
    if block.count.iter().all(|count| *count == 1) {
        block.count.clear();
    }
}

/// Writes a complete trace.
///
/// # Errors
/// If the output cannot be written.
pub fn write<W: Write>(output: W, trace: &Trace) -> io::Result<W> {
    let mut writer = TraceWriter::start(output, &trace.header)?;
    for row in &trace.rows {
        writer.write_row(row)?;
    }
    writer.finish(trace.header.length)
}
