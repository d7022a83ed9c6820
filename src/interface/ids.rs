//! Identifiers of hosts, proxies, slices, zones, classes, kinds of hosts, timers and barriers.
use std::fmt;
use std::net::SocketAddr;

/// Maximum length of a host name, in bytes: enough for instance ids and for addresses with ports.
const MAX_NAME_BYTES: usize = 54;
/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The name of a host. The id contains the name itself, so there is no table of names to clean up when hosts go away.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostId {
    /// The name padded with zeros, so that ids sort like their names.
    bytes: [u8; MAX_NAME_BYTES],
    length: u8,
    hash: u64,
}

impl HostId {
    /// Returns `None` if the name is empty, longer than 54 bytes, or contains a space, a control character or a
    /// non-ASCII character.
    pub fn new(name: &str) -> Option<HostId> {
        let is_valid = !name.is_empty()
            && name.len() <= MAX_NAME_BYTES
            && name.bytes().all(|byte| byte.is_ascii_graphic());
        is_valid.then(|| {
            let mut bytes = [0; MAX_NAME_BYTES];
            bytes[..name.len()].copy_from_slice(name.as_bytes());
            HostId { bytes, length: name.len() as u8, hash: fnv_1a(name) }
        })
    }

    /// The name as passed to [`HostId::new`].
    pub fn name(&self) -> &str {
        std::str::from_utf8(&self.bytes[..usize::from(self.length)]).unwrap_or_default()
    }

    /// A hash that depends on the name only: it is the same on every controller and after every restart.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// The address, if the host is named by the address that it listens on.
    pub fn address(&self) -> Option<SocketAddr> {
        self.name().parse().ok()
    }
}

fn fnv_1a(name: &str) -> u64 {
    let mut hash = FNV_OFFSET_BASIS;
    for byte in name.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    }
    hash
}

impl From<SocketAddr> for HostId {
    fn from(address: SocketAddr) -> HostId {
        HostId::new(&address.to_string()).expect("the longest address is shorter than the limit")
    }
}

impl fmt::Display for HostId {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

impl fmt::Debug for HostId {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// A host in the table of a slice, with the weight by which proxies choose it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedHost {
    /// The host.
    pub host: HostId,
    /// Relative to the other hosts of the table; 0 removes the host.
    pub weight: f64,
}

impl From<(HostId, f64)> for WeightedHost {
    fn from((host, weight): (HostId, f64)) -> WeightedHost {
        WeightedHost { host, weight }
    }
}

/// Identifies a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProxyId(pub u16);
/// Identifies a slice of the key space, and the table of that slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SliceId(pub u16);
/// Identifies a zone in which proxies run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub u16);
/// Identifies an operation class: its index in `ControllerConfig::classes`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub u8);
/// Identifies a kind of hosts (a machine type). Hosts of one kind are alike; the number itself has no meaning.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostKindId(pub u16);
/// Identifies a timer that a controller set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerId(pub u64);
/// Identifies a barrier in the stream of updates. Acknowledging a barrier acknowledges every update before it, too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BarrierId(pub u16);
