use super::*;
use crate::clock::now;

#[test]
fn connects_reports_refusal_and_times_out() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let listening = listener.local_addr().expect("a bound socket");
    let closed = std::net::TcpListener::bind("127.0.0.1:0")
        .expect("a free port")
        .local_addr()
        .expect("a bound socket");
    // A socket with a full backlog drops connection requests, like a machine that is cut off from the network.
    let full_backlog = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    full_backlog.bind(&"127.0.0.1:0".parse::<SocketAddr>().expect("an address").into()).expect("a free port");
    full_backlog.listen(0).expect("a listener");
    let unresponsive = full_backlog.local_addr().expect("a bound socket").as_socket().expect("an address");
    let _pending: Vec<_> = (0..3)
        .map(|_| std::net::TcpStream::connect_timeout(&unresponsive, std::time::Duration::from_millis(50)))
        .collect();
    crate::spawn(move || {
        assert!(dial(listening, 1.0).is_ok());
        assert_eq!(
            dial(closed, 1.0).expect_err("connection refused").kind(),
            io::ErrorKind::ConnectionRefused
        );
        let started_at = now();
        assert_eq!(dial(unresponsive, 0.2).expect_err("no answer").kind(), io::ErrorKind::TimedOut);
        assert!((0.2..2.0).contains(&(now() - started_at)));
    })
    .join()
    .expect("the coroutine has not panicked");
}
