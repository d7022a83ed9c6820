use super::*;
use crate::clock::seconds;
use std::sync::mpsc::channel;

#[test]
fn interrupts_a_write_to_a_peer_that_never_reads() {
    use std::io::Write;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    let (sender, receiver) = channel();
    crate::spawn(move || {
        let mut stream = crate::dial(address, 1.0).expect("the listener is open");
        let timeout = IdleTimeout::both_halves(&stream, 0.1);
        let error = std::iter::repeat_with(|| stream.write_all(&[0; 1 << 16])).find_map(Result::err);
        sender.send((error.is_some(), timeout.has_expired())).expect("the receiver is open");
    });
    let result = receiver.recv_timeout(seconds(10.0));
    assert_eq!(result, Ok((true, true)));
}

#[test]
fn release_reports_whether_the_timeout_expired() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    let (sender, receiver) = channel();
    crate::spawn(move || {
        let stream = crate::dial(address, 1.0).expect("the listener is open");
        let (expired, pending) =
            (IdleTimeout::both_halves(&stream, 0.0), IdleTimeout::both_halves(&stream, 60.0));
        while !expired.has_expired() {
            may::coroutine::sleep(seconds(0.001));
        }
        sender.send((expired.release(), pending.release())).expect("the receiver is open");
    });
    assert_eq!(receiver.recv_timeout(seconds(10.0)), Ok((false, true)));
}
