//! Real sockets through the relays.
use railhub_fault_links::tcp::TcpLink;
use railhub_fault_links::udp::UdpLinks;
use railhub_fault_links::{Faults, LinkController};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Within this a thing happens on loopback, or it does not happen.
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
    let (public_a, public_b) = (links.add("a").expect("an end"), links.add("b").expect("an end"));
    links.set_real_address("a", a.local_addr().ok());
    links.set_real_address("b", b.local_addr().ok());
    a.send_to(b"hello", public_b).expect("sent");
    let mut bytes = [0; 100];
    let (length, from) = b.recv_from(&mut bytes).expect("it comes");
    assert_eq!((&bytes[..length], from), (&b"hello"[..], public_a));
    b.send_to(b"back", from).expect("sent");
    assert_eq!(a.recv_from(&mut bytes).expect("it comes").1, public_b);
    link_controller.set("a", "b", Faults { cut: true, ..Faults::default() });
    a.send_to(b"lost", public_b).expect("sent");
    b.set_read_timeout(Some(Duration::from_millis(300))).expect("settable");
    assert!(b.recv_from(&mut bytes).is_err(), "the direction is cut");
    b.set_read_timeout(Some(TIMEOUT)).expect("settable");
    b.send_to(b"one way", public_a).expect("sent");
    assert!(a.recv_from(&mut bytes).is_ok(), "the other is not");
    // One that nobody named is answered too.
    let stranger = socket();
    stranger.send_to(b"who", public_b).expect("sent");
    let (_, asker) = b.recv_from(&mut bytes).expect("it comes");
    b.send_to(b"me", asker).expect("sent");
    assert_eq!(stranger.recv_from(&mut bytes).expect("it comes").1, public_b);
    let ends = ("a".to_owned(), "b".to_owned());
    assert_eq!((link_controller.counts()[&ends].passed, link_controller.counts()[&ends].cut), (1, 1));
    assert_eq!(seen.lock().expect("no holder panics").iter().filter(|s| **s == ends).count(), 2);
}

#[test]
fn cut_tcp_connection_stays_open_resumes_and_can_be_reset() {
    let link_controller = Arc::new(LinkController::new(1, None));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let link = TcpLink::open(link_controller.clone(), "proxy", "steward", listener.local_addr().ok())
        .expect("a relay");
    let mut client = TcpStream::connect(link.address).expect("connected");
    let (mut server, _) = listener.accept().expect("taken");
    client.set_read_timeout(Some(Duration::from_millis(200))).expect("settable");
    let mut bytes = [0; 5];
    client.write_all(b"hello").expect("sent");
    server.read_exact(&mut bytes).expect("it comes");
    link_controller.set_both("proxy", "steward", Faults { cut: true, ..Faults::default() });
    server.write_all(b"world").expect("taken by the relay");
    assert!(client.read_exact(&mut bytes).is_err(), "silent, and open");
    link_controller.set_both("proxy", "steward", Faults::default());
    client.set_read_timeout(Some(TIMEOUT)).expect("settable");
    client.read_exact(&mut bytes).expect("it comes after all");
    assert_eq!(&bytes, b"world");
    assert_eq!(link.reset(), 1);
    let ended = client.read(&mut bytes).expect_err("no proper end");
    assert_eq!(ended.kind(), std::io::ErrorKind::ConnectionReset);
    server.set_read_timeout(Some(TIMEOUT)).expect("settable");
    let ended = server.read(&mut bytes).expect_err("no proper end");
    assert_eq!(ended.kind(), std::io::ErrorKind::ConnectionReset);
}
