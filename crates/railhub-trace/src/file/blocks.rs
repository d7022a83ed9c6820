//! The file format: the magic line, the protobuf messages in the blocks, and the framing of blocks.
use prost::{Message, Oneof};
use std::io::{self, Write};

/// First line of a file; ends with the format version.
pub(super) const MAGIC: &[u8; 18] = b"railhub traffic 1\n";
/// Start of the first line, up to the format version: common to files of all versions.
pub(super) const MAGIC_PREFIX: &[u8] = b"railhub traffic ";
/// Maximum number of rows in a block; bounds how many rows a truncated file loses.
pub(super) const MAX_BLOCK_ROWS: usize = 2048;
/// Maximum size of a block; has room for `MAX_BLOCK_ROWS` rows in their longest encoding, and for a header with long
/// names.
const MAX_BLOCK_BYTES: usize = 4 << 20;
/// Resolution of times, spans and work in the file: one tick is a microsecond.
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

/// Rows as columns of equal length; `key`, `work`, `span` and `count` are empty if all rows have the default value.
#[derive(Clone, PartialEq, Message)]
pub(super) struct RowsBlock {
    /// Ticks since the previous row.
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
    /// The key plus 1; 0 if unknown.
    #[prost(uint64, repeated, tag = "6")]
    pub key: Vec<u64>,
    /// The work in ticks plus 1; 0 if unknown.
    #[prost(uint64, repeated, tag = "7")]
    pub work: Vec<u64>,
    #[prost(uint32, repeated, tag = "8")]
    pub count: Vec<u32>,
    /// Span in ticks.
    #[prost(uint64, repeated, tag = "9")]
    pub span: Vec<u64>,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct EndBlock {
    #[prost(uint64, tag = "1")]
    pub rows: u64,
    /// Length of the recording in seconds.
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

/// The body of the first block in a byte sequence, and the bytes after that block.
pub(super) struct Frame<'a> {
    pub body: &'a [u8],
    pub rest: &'a [u8],
}

/// Splits off the first block; `None` if the block is incomplete.
pub(super) fn next_frame(bytes: &[u8]) -> Result<Option<Frame<'_>>, &'static str> {
    let Some((length, rest)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
    let Some((checksum, rest)) = rest.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_le_bytes(*length) as usize;
    if length > MAX_BLOCK_BYTES {
        return Err("its length exceeds the maximum of 4 MiB");
    }
    if length > rest.len() {
        return Ok(None);
    }
    let (body, rest) = rest.split_at(length);
    if crc32fast::hash(body) != u32::from_le_bytes(*checksum) {
        return Err("its checksum does not match its contents");
    }
    Ok(Some(Frame { body, rest }))
}
