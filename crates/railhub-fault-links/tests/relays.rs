//! Runs the relays on real sockets.
use railhub_fault_links::tcp::TcpLink;
use railhub_fault_links::udp::UdpLinks;
use railhub_fault_links::{Faults, LinkController};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time limit for a packet or a reset to arrive over loopback.
const TIMEOUT: Duration = Duration::from_secs(5);

fn socket() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    socket.set_read_timeout(Some(TIMEOUT)).expect("settable");
    socket
}

#[test]
fn udp_relay_keeps_public_addresses_and_cuts_one_direction() {
    let seen = Arc::new(Mutex::new(Vec::new()));
    let tapped = seen.clone();
    let tap = Box::new(move |datagram: &railhub_fault_links::ObservedDatagram| {
        tapped.lock().expect("no holder panics").push((datagram.from.to_owned(), datagram.to.to_owned()));
    });
    let link_controller = Arc::new(LinkController::new(1, None));
    let links = UdpLinks::open(link_controller.clone(), tap);
    let (a, b) = (socket(), socket());
    let (public_a, public_b) = (links.add("a").expect("a socket"), links.add("b").expect("a socket"));
    links.set_real_address("a", a.local_addr().ok());
    links.set_real_address("b", b.local_addr().ok());
    a.send_to(b"hello", public_b).expect("sent");
    let mut bytes = [0; 100];
    let (length, from) = b.recv_from(&mut bytes).expect("received");
    assert_eq!((&bytes[..length], from), (&b"hello"[..], public_a));
    b.send_to(b"back", from).expect("sent");
    assert_eq!(a.recv_from(&mut bytes).expect("received").1, public_b);
    link_controller.set("a", "b", Faults { cut: true, ..Faults::default() });
    a.send_to(b"lost", public_b).expect("sent");
    b.set_read_timeout(Some(Duration::from_millis(300))).expect("settable");
    assert!(b.recv_from(&mut bytes).is_err(), "the direction from a to b is cut");
    b.set_read_timeout(Some(TIMEOUT)).expect("settable");
    b.send_to(b"one way", public_a).expect("sent");
    assert!(a.recv_from(&mut bytes).is_ok(), "the direction from b to a is not cut");
    // A reply also reaches a sender that was not added.
    let unknown_sender = socket();
    unknown_sender.send_to(b"who", public_b).expect("sent");
    let (_, from) = b.recv_from(&mut bytes).expect("received");
    b.send_to(b"me", from).expect("sent");
    assert_eq!(unknown_sender.recv_from(&mut bytes).expect("received").1, public_b);
    let from_a_to_b = ("a".to_owned(), "b".to_owned());
    assert_eq!(
        (link_controller.counts()[&from_a_to_b].passed, link_controller.counts()[&from_a_to_b].cut),
        (1, 1)
    );
    assert_eq!(
        seen.lock().expect("no holder panics").iter().filter(|endpoints| **endpoints == from_a_to_b).count(),
        2
    );
}

#[test]
fn cut_tcp_connection_stays_open_resumes_and_can_be_reset() {
    let link_controller = Arc::new(LinkController::new(1, None));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let link = TcpLink::open(link_controller.clone(), "proxy", "controller", listener.local_addr().ok())
        .expect("a relay");
    let mut client = TcpStream::connect(link.address).expect("connected");
    let (mut server, _) = listener.accept().expect("accepted");
    client.set_read_timeout(Some(Duration::from_millis(200))).expect("settable");
    let mut bytes = [0; 5];
    client.write_all(b"hello").expect("sent");
    server.read_exact(&mut bytes).expect("received");
    link_controller.set_both("proxy", "controller", Faults { cut: true, ..Faults::default() });
    server.write_all(b"world").expect("buffered by the relay");
    assert!(client.read_exact(&mut bytes).is_err(), "nothing arrives while the direction is cut");
    link_controller.set_both("proxy", "controller", Faults::default());
    client.set_read_timeout(Some(TIMEOUT)).expect("settable");
    client.read_exact(&mut bytes).expect("received once the direction is restored");
    assert_eq!(&bytes, b"world");
    assert_eq!(link.reset(), 1);
    let error = client.read(&mut bytes).expect_err("no orderly close");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    server.set_read_timeout(Some(TIMEOUT)).expect("settable");
    let error = server.read(&mut bytes).expect_err("no orderly close");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
}
