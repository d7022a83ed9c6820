//! The kernel's state of connections to a controller, socket options that the standard library lacks, and silent peers.
use super::{eventually, Controller, EVENT_TIMEOUT};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;

/// Connection states in `/proc/net/tcp` in which a process may still have the connection open.
const ESTABLISHED: &str = "01";
const CLOSE_WAIT: &str = "08";

/// The controller's end of a connection.
pub struct ControllerSocket {
    /// Zero until the controller has accepted the connection.
    pub inode: u64,
    /// Bytes that arrived at the controller and were not read.
    pub unread: usize,
    /// Bytes that the controller has written and the peer's kernel has not acknowledged.
    pub unsent: usize,
}

/// `None` if the connection is closed at the controller's end.
pub fn controller_socket(stream: &TcpStream) -> Option<ControllerSocket> {
    let (controller, peer) =
        (proc_net_tcp_address(stream.peer_addr().ok()?), proc_net_tcp_address(stream.local_addr().ok()?));
    let table = std::fs::read_to_string("/proc/net/tcp").expect("/proc/net/tcp is readable");
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

/// An address as `/proc/net/tcp` writes it.
fn proc_net_tcp_address(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else { panic!("tests use IPv4") };
    format!("{:08X}:{:04X}", u32::from_le_bytes(address.ip().octets()), address.port())
}

/// Bytes that arrived at this end and were not read.
pub fn unread_bytes(stream: &TcpStream) -> usize {
    let mut bytes: libc::c_int = 0;
    // SAFETY: the descriptor is open, and the request writes one integer.
    assert_eq!(unsafe { libc::ioctl(stream.as_raw_fd(), libc::FIONREAD, &mut bytes) }, 0);
    usize::try_from(bytes).expect("the byte count is not negative")
}

/// Closes the connection with a reset.
pub fn reset(stream: TcpStream) {
    set_option(&stream, libc::SO_LINGER, libc::linger { l_onoff: 1, l_linger: 0 });
}

/// Fixes the receive buffer at its default size; the kernel would enlarge it otherwise.
pub fn fix_receive_buffer_size(stream: &TcpStream) {
    // The kernel doubles the value that is set.
    const HALF_OF_DEFAULT_BYTES: libc::c_int = 65_536;
    set_option(stream, libc::SO_RCVBUF, HALF_OF_DEFAULT_BYTES);
}

fn set_option<T>(stream: &TcpStream, option: libc::c_int, value: T) {
    let size = std::mem::size_of::<T>() as libc::socklen_t;
    let value = std::ptr::from_ref(&value).cast();
    // SAFETY: the descriptor is open, and `size` is the size of the value.
    let result = unsafe { libc::setsockopt(stream.as_raw_fd(), libc::SOL_SOCKET, option, value, size) };
    assert_eq!(result, 0);
}

/// The open descriptors of the process: the number of each and the target of its link in `/proc`.
pub fn descriptors(controller: &Controller) -> Vec<(u64, String)> {
    let directory =
        std::fs::read_dir(format!("/proc/{}/fd", controller.child.id())).expect("the process runs");
    let described = directory.flatten().filter_map(|entry| {
        let number = entry.file_name().to_str()?.parse().ok()?;
        // A descriptor that was closed meanwhile has no target any more.
        let target = std::fs::read_link(entry.path()).ok()?;
        Some((number, target.display().to_string()))
    });
    described.collect()
}

/// Whether the process has the socket open.
pub fn has_socket_open(controller: &Controller, inode: u64) -> bool {
    let target = format!("socket:[{inode}]");
    descriptors(controller).iter().any(|(_, open)| *open == target)
}

/// A relay and a discovery that accept connections and never respond.
pub struct SilentPeers {
    pub relay: TcpListener,
    pub discovery: TcpListener,
}

impl SilentPeers {
    pub fn open() -> SilentPeers {
        let listener = || TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        SilentPeers { relay: listener(), discovery: listener() }
    }

    pub fn addresses(&self) -> (SocketAddr, SocketAddr) {
        let address = |listener: &TcpListener| listener.local_addr().expect("the listener is bound");
        (address(&self.relay), address(&self.discovery))
    }

    pub fn start_controller(&self, name: &str) -> Controller {
        let (relay, discovery) = self.addresses();
        Controller::start(name, relay, discovery)
    }

    /// The first line of the next connection to the relay.
    pub fn first_line_to_relay(&self) -> String {
        self.relay.set_nonblocking(true).expect("socket option is set");
        let mut accepted = None;
        eventually("the controller connects to the relay", || {
            accepted = self.relay.accept().ok();
            accepted.is_some()
        });
        let (stream, _) = accepted.expect("a connection was accepted");
        stream.set_nonblocking(false).expect("socket option is set");
        stream.set_read_timeout(Some(EVENT_TIMEOUT)).expect("timeout is set");
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).expect("a line arrives within the read timeout");
        line
    }
}
