use super::*;

#[test]
fn a_peer_that_never_reads_does_not_hold_a_writer() {
    use std::io::Write;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (sender, receiver) = channel();
    crate::go(move || {
        let mut stream = crate::dial(address, 1.0).expect("it listens");
        let guard = Guard::both_ways(&stream, 0.1);
        let ended = std::iter::repeat_with(|| stream.write_all(&[0; 1 << 16])).find_map(Result::err);
        sender.send((ended.is_some(), guard.fired())).expect("still read");
    });
    let ended = receiver.recv_timeout(seconds(10.0));
    assert_eq!(ended, Ok((true, true)));
}

#[test]
fn a_socket_whose_guard_fired_before_it_was_let_go_is_not_whole() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (sender, receiver) = channel();
    crate::go(move || {
        let stream = crate::dial(address, 1.0).expect("it listens");
        let (late, early) = (Guard::both_ways(&stream, 0.0), Guard::both_ways(&stream, 60.0));
        while !late.fired() {
            may::coroutine::sleep(seconds(0.001));
        }
        sender.send((late.let_go(), early.let_go())).expect("still read");
    });
    assert_eq!(receiver.recv_timeout(seconds(10.0)), Ok((false, true)));
}

#[test]
fn things_happen_in_the_order_of_their_times() {
    let (sender, receiver) = channel();
    for span in [0.09, 0.03, 0.06] {
        let sender = sender.clone();
        after(span, move || sender.send(span).expect("still read"));
    }
    let got: Vec<f64> = (0..3).map(|_| receiver.recv().expect("it happens")).collect();
    assert_eq!(got, [0.03, 0.06, 0.09]);
}
