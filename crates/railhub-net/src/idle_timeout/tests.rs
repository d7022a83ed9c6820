use super::*;
use crate::clock::seconds;
use std::sync::mpsc::channel;

#[test]
fn a_peer_that_never_reads_does_not_hold_a_writer() {
    use std::io::Write;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (sender, receiver) = channel();
    crate::spawn(move || {
        let mut stream = crate::dial(address, 1.0).expect("it listens");
        let guard = IdleTimeout::both_halves(&stream, 0.1);
        let ended = std::iter::repeat_with(|| stream.write_all(&[0; 1 << 16])).find_map(Result::err);
        sender.send((ended.is_some(), guard.has_expired())).expect("still read");
    });
    let ended = receiver.recv_timeout(seconds(10.0));
    assert_eq!(ended, Ok((true, true)));
}

#[test]
fn a_socket_whose_guard_fired_before_it_was_let_go_is_not_whole() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (sender, receiver) = channel();
    crate::spawn(move || {
        let stream = crate::dial(address, 1.0).expect("it listens");
        let (late, early) = (IdleTimeout::both_halves(&stream, 0.0), IdleTimeout::both_halves(&stream, 60.0));
        while !late.has_expired() {
            may::coroutine::sleep(seconds(0.001));
        }
        sender.send((late.release(), early.release())).expect("still read");
    });
    assert_eq!(receiver.recv_timeout(seconds(10.0)), Ok((false, true)));
}
