//! The fixed parts of the header, and bounds on the contents of a datagram.

/// The first bytes of each datagram.
pub const MAGIC: &[u8; 3] = b"RHF";
/// Version of the protocol between controllers.
pub const VERSION: u8 = 1;
/// Bytes of the header before the installation name.
pub const HEADER_BYTES: usize = 9;
/// The most bytes of a datagram: it fits in one Ethernet frame together with the headers that tunnels add.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// The most bytes of an installation name.
pub const MAX_INSTALLATION_BYTES: usize = 32;
/// The most bytes of a program version.
pub const MAX_PROGRAM_VERSION_BYTES: usize = 24;
/// The most bytes of an address in text form.
pub const MAX_ADDRESS_BYTES: usize = 48;
/// The most members of a view in one datagram; a larger view is read page by page.
pub const MAX_VIEW_ENTRIES: usize = 8;
