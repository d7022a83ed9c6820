//! What hosts, proxies, slices, zones, classes, timers and barriers are named by.
use std::fmt;
use std::net::SocketAddr;

/// Longest host name, in bytes. Instance ids and addresses with ports fit.
const MAX_NAME_BYTES: usize = 54;
/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// A host's name. It holds the name itself, so no table of names outlives the hosts.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostId {
    /// Padded with zeros, so that ids sort as their names do.
    bytes: [u8; MAX_NAME_BYTES],
    length: u8,
    hash: u64,
}

impl HostId {
    /// `None` if the name is empty, longer than 54 bytes, or holds a space, a control or a non-ASCII character.
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

    /// The name as it was given.
    pub fn name(&self) -> &str {
        std::str::from_utf8(&self.bytes[..usize::from(self.length)]).unwrap_or_default()
    }

    /// A hash of the name alone: the same on every controller and after every restart.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// The address, where hosts are named by the address that they listen at.
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

/// A host in a slice's table, with the weight that proxies choose it by.
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

/// A proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProxyId(pub u16);
/// A slice of the key space; also the number of its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SliceId(pub u16);
/// A zone that proxies stand in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub u16);
/// An operation class: its position in `ControllerConfig::classes`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub u8);
/// A machine type. Hosts of one type are alike; the number itself has no meaning.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostKindId(pub u16);
/// A timer that a controller set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerId(pub u64);
/// A barrier in the stream of updates: acknowledging it acknowledges all that was sent before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BarrierId(pub u16);
