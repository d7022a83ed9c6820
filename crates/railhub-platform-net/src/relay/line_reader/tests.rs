//! Reading a line against its time-out.
use super::*;
use railhub_net::{dial, seconds, spawn};
use std::io::Write;
use std::sync::mpsc::channel;

#[test]
fn accepts_only_a_complete_line_once_the_timeout_has_expired() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    for (sent, expected) in [("whole\n", Ok("whole")), ("part", Err("relay silent for too long"))] {
        let (sender, receiver) = channel();
        spawn(move || {
            let mut stream = dial(address, 1.0).expect("it listens");
            stream.write_all(b"ask\n").expect("taken");
            // Read only once the time-out has expired, with the bytes in the socket.
            while stream.inner().peek(&mut [0; 8]).unwrap_or(0) < sent.len() {
                may::coroutine::sleep(seconds(0.001));
            }
            let timeout = IdleTimeout::both_halves(&stream, 0.0);
            while !timeout.has_expired() {
                may::coroutine::sleep(seconds(0.001));
            }
            let parse = |line: &[u8]| String::from_utf8_lossy(line).into_owned();
            let mut lines = new_line_splitter();
            sender.send(next_line(&mut stream, &timeout, &mut lines, parse)).expect("still read");
        });
        let (mut peer, _) = listener.accept().expect("it dials");
        peer.write_all(sent.as_bytes()).expect("open");
        let result = receiver.recv_timeout(seconds(10.0)).expect("in time");
        let result = result.map_err(|error| error.to_string());
        assert_eq!(result.as_deref().map_err(String::as_str), expected);
    }
}
