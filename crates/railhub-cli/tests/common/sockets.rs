//! What the kernel tells of connections to a steward, and what the standard library lacks for closing them.
use super::{eventually, Controller, EVENT_TIMEOUT};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;

/// States of a connection in `/proc/net/tcp` while its process may have it open.
const ESTABLISHED: &str = "01";
const CLOSE_WAIT: &str = "08";

/// The steward's end of a connection.
pub struct ControllerSocket {
    /// Zero until the steward has accepted the connection.
    pub inode: u64,
    /// Bytes that the steward has received and not read.
    pub unread: usize,
    /// Bytes that the steward has written and its peer's kernel has not acknowledged.
    pub unsent: usize,
}

/// `None` if the connection is closed at the steward's end.
pub fn controller_socket(stream: &TcpStream) -> Option<ControllerSocket> {
    let (controller, peer) =
        (proc_net_tcp_address(stream.peer_addr().ok()?), proc_net_tcp_address(stream.local_addr().ok()?));
    let table = std::fs::read_to_string("/proc/net/tcp").expect("a table of connections");
    table.lines().skip(1).find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_open = [ESTABLISHED, CLOSE_WAIT].contains(&fields[3]);
        if fields[1] != controller || fields[2] != peer || !is_open {
            return None;
        }
        let (unsent, unread) = fields[4].split_once(':')?;
        let bytes = |hexadecimal| usize::from_str_radix(hexadecimal, 16).ok();
        Some(ControllerSocket {
            inode: fields[9].parse().ok()?,
            unread: bytes(unread)?,
            unsent: bytes(unsent)?,
        })
    })
}

fn proc_net_tcp_address(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else { panic!("tests use IPv4") };
    format!("{:08X}:{:04X}", u32::from_le_bytes(address.ip().octets()), address.port())
}

/// Bytes that have come at this end and were not read.
pub fn unread_bytes(stream: &TcpStream) -> usize {
    let mut bytes: libc::c_int = 0;
    // SAFETY: the descriptor is open, and the request writes one integer.
    assert_eq!(unsafe { libc::ioctl(stream.as_raw_fd(), libc::FIONREAD, &mut bytes) }, 0);
    usize::try_from(bytes).expect("a count")
}

/// Closes the connection with a reset.
pub fn reset(stream: TcpStream) {
    set_option(&stream, libc::SO_LINGER, libc::linger { l_onoff: 1, l_linger: 0 });
}

/// Keeps the buffer for bytes that came and were not read at the size it has by default, which would grow else.
pub fn fix_receive_buffer_size(stream: &TcpStream) {
    // The kernel doubles it.
    const HALF_OF_DEFAULT_BYTES: libc::c_int = 65_536;
    set_option(stream, libc::SO_RCVBUF, HALF_OF_DEFAULT_BYTES);
}

fn set_option<T>(stream: &TcpStream, option: libc::c_int, value: T) {
    let size = std::mem::size_of::<T>() as libc::socklen_t;
    let value = std::ptr::from_ref(&value).cast();
    // SAFETY: the descriptor is open, and the value is of the size told.
    let result = unsafe { libc::setsockopt(stream.as_raw_fd(), libc::SOL_SOCKET, option, value, size) };
    assert_eq!(result, 0);
}

/// Numbers of the descriptors that the process has open, each with what it refers to.
pub fn descriptors(controller: &Controller) -> Vec<(u64, String)> {
    let directory = std::fs::read_dir(format!("/proc/{}/fd", controller.child.id())).expect("a process");
    let described = directory.flatten().filter_map(|entry| {
        let number = entry.file_name().to_str()?.parse().ok()?;
        // One that was closed meanwhile has no target any more.
        let target = std::fs::read_link(entry.path()).ok()?;
        Some((number, target.display().to_string()))
    });
    described.collect()
}

/// Whether the process has the socket open.
pub fn has_socket_open(controller: &Controller, inode: u64) -> bool {
    let target = format!("socket:[{inode}]");
    descriptors(controller).iter().any(|(_, held)| *held == target)
}

/// A relay and a discovery that accept connections and say nothing.
pub struct SilentPeers {
    pub relay: TcpListener,
    pub discovery: TcpListener,
}

impl SilentPeers {
    pub fn open() -> SilentPeers {
        let listener = || TcpListener::bind("127.0.0.1:0").expect("a port");
        SilentPeers { relay: listener(), discovery: listener() }
    }

    pub fn addresses(&self) -> (SocketAddr, SocketAddr) {
        let address = |listener: &TcpListener| listener.local_addr().expect("bound");
        (address(&self.relay), address(&self.discovery))
    }

    pub fn start_controller(&self, name: &str) -> Controller {
        let (relay, discovery) = self.addresses();
        Controller::start(name, relay, discovery)
    }

    /// What the next connection to the relay says first.
    pub fn first_line_to_relay(&self) -> String {
        self.relay.set_nonblocking(true).expect("an option");
        let mut caller = None;
        eventually("the relay is dialled", || {
            caller = self.relay.accept().ok();
            caller.is_some()
        });
        let (stream, _) = caller.expect("it came");
        stream.set_nonblocking(false).expect("an option");
        stream.set_read_timeout(Some(EVENT_TIMEOUT)).expect("a time");
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).expect("a line in time");
        line
    }
}
