//! Owns the file format: the magic line, the protobuf messages of blocks, and their framing.
use prost::{Message, Oneof};
use std::io::{self, Write};

/// First line of a file; it ends with the version.
pub(super) const MAGIC: &[u8; 18] = b"railhub traffic 1\n";
/// First line of a file of any version, up to the version.
pub(super) const MAGIC_PREFIX: &[u8] = b"railhub traffic ";
/// Maximum rows in a block; a truncated file loses no more than these.
pub(super) const MAX_BLOCK_ROWS: usize = 2048;
/// Maximum bytes of a block: `MAX_BLOCK_ROWS` rows of the longest encoding, and a header with long names.
const MAX_BLOCK_BYTES: usize = 4 << 20;
/// Resolution of times, spans and works in the file: microseconds.
pub(super) const TICKS_PER_SECOND: f64 = 1e6;

#[derive(Clone, PartialEq, Message)]
pub(super) struct Block {
    #[prost(oneof = "Part", tags = "1, 2, 3")]
    pub part: Option<Part>,
}

#[derive(Clone, PartialEq, Oneof)]
pub(super) enum Part {
    #[prost(message, tag = "1")]
    Header(HeaderBlock),
    #[prost(message, tag = "2")]
    Rows(RowsBlock),
    #[prost(message, tag = "3")]
    End(EndBlock),
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct HeaderBlock {
    #[prost(string, repeated, tag = "1")]
    pub classes: Vec<String>,
    #[prost(string, repeated, tag = "2")]
    pub zones: Vec<String>,
    #[prost(uint32, tag = "3")]
    pub slices: u32,
    #[prost(uint32, tag = "4")]
    pub proxies: u32,
}

/// Columns of equal length; `key`, `work`, `span` and `count` are empty if all rows have the default.
#[derive(Clone, PartialEq, Message)]
pub(super) struct RowsBlock {
    /// Ticks since the row before.
    #[prost(sint64, repeated, tag = "1")]
    pub at: Vec<i64>,
    #[prost(uint32, repeated, tag = "2")]
    pub class: Vec<u32>,
    #[prost(uint32, repeated, tag = "3")]
    pub slice: Vec<u32>,
    #[prost(uint32, repeated, tag = "4")]
    pub zone: Vec<u32>,
    #[prost(uint32, repeated, tag = "5")]
    pub proxy: Vec<u32>,
    /// 0 if unknown, else the key plus 1.
    #[prost(uint64, repeated, tag = "6")]
    pub key: Vec<u64>,
    /// 0 if unknown, else the ticks plus 1.
    #[prost(uint64, repeated, tag = "7")]
    pub work: Vec<u64>,
    #[prost(uint32, repeated, tag = "8")]
    pub count: Vec<u32>,
    /// Ticks.
    #[prost(uint64, repeated, tag = "9")]
    pub span: Vec<u64>,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct EndBlock {
    #[prost(uint64, tag = "1")]
    pub rows: u64,
    /// Seconds.
    #[prost(double, tag = "2")]
    pub length: f64,
}

/// Writes one block with its length and checksum.
pub(super) fn write_block(output: &mut impl Write, part: Part) -> io::Result<()> {
    let body = Block { part: Some(part) }.encode_to_vec();
    output.write_all(&(body.len() as u32).to_le_bytes())?;
    output.write_all(&crc32fast::hash(&body).to_le_bytes())?;
    output.write_all(&body)
}

/// The body of a block, and the bytes after the block.
pub(super) struct Frame<'a> {
    pub body: &'a [u8],
    pub rest: &'a [u8],
}

/// Splits the first block off; `None` if the bytes end before it does.
pub(super) fn next_frame(bytes: &[u8]) -> Result<Option<Frame<'_>>, &'static str> {
    let Some((length, rest)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
    let Some((checksum, rest)) = rest.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_le_bytes(*length) as usize;
    if length > MAX_BLOCK_BYTES {
        return Err("longer than any block");
    }
    if length > rest.len() {
        return Ok(None);
    }
    let (body, rest) = rest.split_at(length);
    if crc32fast::hash(body) != u32::from_le_bytes(*checksum) {
        return Err("its checksum differs");
    }
    Ok(Some(Frame { body, rest }))
}
