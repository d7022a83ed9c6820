//! The header's fixed parts, and bounds of what a datagram may hold.

/// First bytes of each datagram.
pub const MAGIC: &[u8; 3] = b"RHF";
/// Version of the protocol between controllers.
pub const VERSION: u8 = 1;
/// Bytes of the header before the installation's name.
pub const HEADER_BYTES: usize = 9;
/// Bytes of a datagram: one Ethernet frame, with room for what tunnels add.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Bytes of an installation's name.
pub const MAX_INSTALLATION_BYTES: usize = 32;
/// Bytes of a program's version.
pub const MAX_PROGRAM_VERSION_BYTES: usize = 24;
/// Bytes of an address as text.
pub const MAX_ADDRESS_BYTES: usize = 48;
/// Members of a view in one datagram; a larger view is read page by page.
pub const MAX_VIEW_ENTRIES: usize = 8;
