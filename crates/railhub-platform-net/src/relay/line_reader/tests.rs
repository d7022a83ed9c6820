//! Reading of a line whose time-out has expired.
use super::*;
use railhub_net::{dial, seconds, spawn};
use std::io::Write;
use std::sync::mpsc::channel;

#[test]
fn accepts_only_a_complete_line_once_the_timeout_has_expired() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    for (sent, expected) in [("whole\n", Ok("whole")), ("part", Err("relay silent for too long"))] {
        let (sender, receiver) = channel();
        spawn(move || {
            let mut stream = dial(address, 1.0).expect("the listener is open");
            stream.write_all(b"ask\n").expect("writable");
            // Reads only after the bytes have arrived in the socket and the time-out has expired.
            while stream.inner().peek(&mut [0; 8]).unwrap_or(0) < sent.len() {
                may::coroutine::sleep(seconds(0.001));
            }
            let timeout = IdleTimeout::both_halves(&stream, 0.0);
            while !timeout.has_expired() {
                may::coroutine::sleep(seconds(0.001));
            }
            let parse = |line: &[u8]| String::from_utf8_lossy(line).into_owned();
            let mut lines = new_line_splitter();
            sender.send(next_line(&mut stream, &timeout, &mut lines, parse)).expect("the receiver is open");
        });
        let (mut peer, _) = listener.accept().expect("a connection");
        peer.write_all(sent.as_bytes()).expect("writable");
        let result = receiver.recv_timeout(seconds(10.0)).expect("a result in time");
        let result = result.map_err(|error| error.to_string());
        assert_eq!(result.as_deref().map_err(String::as_str), expected);
    }
}
