//! The file: a magic line with its version, then blocks of length, checksum and body. The first block has the
//! facts, each further one some rows as columns, the last says how many there were. What lacks its last block
//! was cut off; the whole blocks before the cut are good.
use crate::{Facts, Row, Traffic};
use prost::{Message, Oneof};
use std::io::{self, Write};
use std::path::Path;
use thiserror::Error;

const MAGIC: &[u8; 18] = b"railhub traffic 1\n";
/// Rows of a block: a cut loses no more than these.
const BLOCK_ROWS: usize = 2048;
/// Bytes of a block that are believed: 2048 rows of the longest kind and names.
const LONGEST: usize = 4 << 20;
/// Steps of a second that times and works are kept in: microseconds.
const STEPS: f64 = 1e6;
/// Numbers of a class, slice, zone or proxy that are believed; a reader makes lists of such a length.
const MOST_NUMBER: u32 = 1 << 20;
/// Seconds of a recording that are believed, a year, and of one row of sums: what is counted by seconds of them
/// must fit memory.
const LONGEST_TIME: f64 = 366.0 * 86_400.0;
const LONGEST_SPAN: f64 = 3600.0;

#[derive(Debug, Error)]
pub enum TrafficFault {
    #[error("{0}: {1}")]
    File(String, io::Error),
    #[error("{0}: not recorded traffic")]
    Foreign(String),
    #[error("{0}: traffic of version {1}, this program reads version 1")]
    Version(String, String),
    #[error("{0}: block {1} is damaged: {2}")]
    Damaged(String, usize, String),
}

#[derive(Clone, PartialEq, Message)]
struct Block {
    #[prost(oneof = "Part", tags = "1, 2, 3")]
    part: Option<Part>,
}

#[derive(Clone, PartialEq, Oneof)]
enum Part {
    #[prost(message, tag = "1")]
    Facts(FactsBlock),
    #[prost(message, tag = "2")]
    Rows(RowsBlock),
    #[prost(message, tag = "3")]
    End(EndBlock),
}

#[derive(Clone, PartialEq, Message)]
struct FactsBlock {
    #[prost(string, repeated, tag = "1")]
    classes: Vec<String>,
    #[prost(string, repeated, tag = "2")]
    zones: Vec<String>,
    #[prost(uint32, tag = "3")]
    slices: u32,
    #[prost(uint32, tag = "4")]
    proxies: u32,
}

/// Columns of equal length, but for keys and spans, which may be missing in all rows. Times are differences.
#[derive(Clone, PartialEq, Message)]
struct RowsBlock {
    #[prost(sint64, repeated, tag = "1")]
    at: Vec<i64>,
    #[prost(uint32, repeated, tag = "2")]
    class: Vec<u32>,
    #[prost(uint32, repeated, tag = "3")]
    slice: Vec<u32>,
    #[prost(uint32, repeated, tag = "4")]
    zone: Vec<u32>,
    #[prost(uint32, repeated, tag = "5")]
    proxy: Vec<u32>,
    /// 0: not known, else one more than the key.
    #[prost(uint64, repeated, tag = "6")]
    key: Vec<u64>,
    /// 0: not known, else one more than the microseconds.
    #[prost(uint64, repeated, tag = "7")]
    work: Vec<u64>,
    #[prost(uint32, repeated, tag = "8")]
    count: Vec<u32>,
    #[prost(uint64, repeated, tag = "9")]
    span: Vec<u64>,
}

#[derive(Clone, PartialEq, Message)]
struct EndBlock {
    #[prost(uint64, tag = "1")]
    rows: u64,
    #[prost(double, tag = "2")]
    length: f64,
}

/// Writes rows as they come; a block leaves when it is full or when it is asked for.
pub struct Writer<W: Write> {
    to: W,
    block: RowsBlock,
    last: i64,
    rows: u64,
    length: f64,
}

impl<W: Write> Writer<W> {
    pub fn start(mut to: W, facts: &Facts) -> io::Result<Writer<W>> {
        to.write_all(MAGIC)?;
        let mut writer = Writer { to, block: RowsBlock::default(), last: 0, rows: 0, length: 0.0 };
        let Facts { classes, zones, slices, proxies, .. } = facts.clone();
        writer.write(Part::Facts(FactsBlock { classes, zones, slices, proxies }))?;
        Ok(writer)
    }

    pub fn put(&mut self, row: &Row) -> io::Result<()> {
        let at = (row.at * STEPS).round() as i64;
        let block = &mut self.block;
        block.at.push(at - std::mem::replace(&mut self.last, at));
        block.class.push(row.class);
        block.slice.push(row.slice);
        block.zone.push(row.zone);
        block.proxy.push(row.proxy);
        block.key.push(row.key.map_or(0, |key| key.saturating_add(1)));
        block.work.push(row.work.map_or(0, |work| (work * STEPS).round() as u64 + 1));
        block.count.push(row.count);
        block.span.push((row.span * STEPS).round() as u64);
        self.rows += 1;
        self.length = self.length.max(row.at);
        if self.block.at.len() >= BLOCK_ROWS {
            self.flush()?;
        }
        Ok(())
    }

    /// Rows so far are in the file after this, whatever happens next.
    pub fn flush(&mut self) -> io::Result<()> {
        let mut block = std::mem::take(&mut self.block);
        if block.at.is_empty() {
            return self.to.flush();
        }
        for column in [&mut block.key, &mut block.work, &mut block.span] {
            if column.iter().all(|value| *value == 0) {
                column.clear();
            }
        }
        if block.count.iter().all(|count| *count == 1) {
            block.count.clear();
        }
        self.write(Part::Rows(block))?;
        self.to.flush()
    }

    /// `length`: seconds that were recorded, rows or not.
    pub fn finish(mut self, length: f64) -> io::Result<W> {
        self.flush()?;
        let end = EndBlock { rows: self.rows, length: length.max(self.length) };
        self.write(Part::End(end))?;
        self.to.flush()?;
        Ok(self.to)
    }

    fn write(&mut self, part: Part) -> io::Result<()> {
        let bytes = Block { part: Some(part) }.encode_to_vec();
        self.to.write_all(&(bytes.len() as u32).to_le_bytes())?;
        self.to.write_all(&crc32fast::hash(&bytes).to_le_bytes())?;
        self.to.write_all(&bytes)
    }
}

/// What a file gave, and whether its end was there.
#[derive(Clone, Debug, PartialEq)]
pub struct Opened {
    pub traffic: Traffic,
    /// It ends in the middle; the rows are those before.
    pub cut_off: bool,
}

pub fn open(path: &Path) -> Result<Opened, TrafficFault> {
    let name = path.display().to_string();
    let bytes = std::fs::read(path).map_err(|e| TrafficFault::File(name.clone(), e))?;
    read(&name, &bytes)
}

pub fn save(path: &Path, traffic: &Traffic) -> Result<(), TrafficFault> {
    let fault = |e| TrafficFault::File(path.display().to_string(), e);
    let file = std::fs::File::create(path).map_err(fault)?;
    let written = write(io::BufWriter::new(file), traffic);
    written.map(|_| ()).map_err(fault)
}

pub fn write<W: Write>(to: W, traffic: &Traffic) -> io::Result<W> {
    let mut writer = Writer::start(to, &traffic.facts)?;
    traffic.rows.iter().try_for_each(|row| writer.put(row))?;
    writer.finish(traffic.facts.length)
}

pub fn read(name: &str, bytes: &[u8]) -> Result<Opened, TrafficFault> {
    let Some(mut rest) = bytes.strip_prefix(MAGIC) else {
        let ours =
            bytes.strip_prefix(b"railhub traffic ").and_then(|rest| rest.split(|b| *b == b'\n').next());
        return Err(match ours {
            Some(version) => {
                let version = String::from_utf8_lossy(&version[..version.len().min(16)]).into_owned();
                TrafficFault::Version(name.to_owned(), version)
            }
            None => TrafficFault::Foreign(name.to_owned()),
        });
    };
    let (mut traffic, mut number, mut at) = (Traffic::default(), 0, 0i64);
    loop {
        number += 1;
        let damaged = |what: &str| TrafficFault::Damaged(name.to_owned(), number, what.to_owned());
        let Some((body, after)) = next_block(rest).map_err(&damaged)? else {
            return cut_off(traffic, number, &damaged);
        };
        rest = after;
        let block = Block::decode(body).map_err(|e| damaged(&e.to_string()))?;
        match (number, block.part) {
            (1, Some(Part::Facts(FactsBlock { classes, zones, slices, proxies }))) => {
                traffic.facts = Facts { classes, zones, slices, proxies, length: 0.0 };
            }
            (2.., Some(Part::Rows(block))) => {
                rows_of(&block, &traffic.facts, &mut at, &mut traffic.rows).map_err(&damaged)?;
            }
            (2.., Some(Part::End(end))) => {
                if end.rows != traffic.rows.len() as u64 || !rest.is_empty() {
                    return Err(damaged("its end does not fit the rows before"));
                }
                if !(0.0..LONGEST_TIME).contains(&end.length) {
                    return Err(damaged("a length that cannot be"));
                }
                traffic.facts.length = end.length;
                traffic.sort();
                return Ok(Opened { traffic, cut_off: false });
            }
            _ => return Err(damaged("of a kind that does not belong here")),
        }
    }
}

fn cut_off(
    mut traffic: Traffic,
    number: usize,
    damaged: &impl Fn(&str) -> TrafficFault,
) -> Result<Opened, TrafficFault> {
    if number == 1 {
        return Err(damaged("cut off before the first row"));
    }
    traffic.sort();
    traffic.facts.length = traffic.rows.last().map_or(0.0, |row| row.at);
    Ok(Opened { traffic, cut_off: true })
}

/// A block's body, and what follows it.
type Split<'a> = (&'a [u8], &'a [u8]);

/// `None` if the file ends before its next block does.
fn next_block(bytes: &[u8]) -> Result<Option<Split<'_>>, &'static str> {
    let Some((length, rest)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
    let Some((sum, rest)) = rest.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_le_bytes(*length) as usize;
    if length > LONGEST {
        return Err("longer than any block");
    }
    if length > rest.len() {
        return Ok(None);
    }
    let (body, rest) = rest.split_at(length);
    if crc32fast::hash(body) != u32::from_le_bytes(*sum) {
        return Err("its checksum differs");
    }
    Ok(Some((body, rest)))
}

fn rows_of(block: &RowsBlock, facts: &Facts, at: &mut i64, rows: &mut Vec<Row>) -> Result<(), &'static str> {
    let length = block.at.len();
    let whole = [&block.class, &block.slice, &block.zone, &block.proxy];
    let may_lack = [&block.key, &block.work, &block.span];
    let fits = whole.iter().all(|column| column.len() == length)
        && may_lack.iter().all(|column| column.is_empty() || column.len() == length)
        && (block.count.is_empty() || block.count.len() == length);
    if !fits || length > BLOCK_ROWS {
        return Err("its columns do not fit");
    }
    for n in 0..length {
        *at = at.checked_add(block.at[n]).ok_or("a time that cannot be")?;
        let cell = |column: &Vec<u64>| column.get(n).copied().unwrap_or(0);
        let row = Row {
            at: *at as f64 / STEPS,
            class: block.class[n],
            slice: block.slice[n],
            zone: block.zone[n],
            proxy: block.proxy[n],
            key: cell(&block.key).checked_sub(1),
            work: cell(&block.work).checked_sub(1).map(|work| work as f64 / STEPS),
            count: block.count.get(n).copied().unwrap_or(1),
            span: cell(&block.span) as f64 / STEPS,
        };
        let known = (row.class as usize) < facts.classes.len()
            && (row.zone as usize) < facts.zones.len()
            && row.slice < facts.slices.clamp(1, MOST_NUMBER)
            && row.proxy < MOST_NUMBER;
        if !known {
            return Err("a class, zone or slice that the facts do not know");
        }
        let longest = LONGEST_SPAN.min(row.at.max(0.0) + 1e-9);
        if !(0.0..LONGEST_TIME).contains(&row.at) || row.span > longest {
            return Err("a time that cannot be");
        }
        rows.push(row);
    }
    Ok(())
}

#[cfg(test)]
mod tests;
