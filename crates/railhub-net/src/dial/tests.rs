use super::*;
use crate::clock::now;

#[test]
fn a_peer_that_listens_refuses_or_says_nothing() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let open = listener.local_addr().expect("bound");
    let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound");
    // A backlog that is full drops what comes, as a machine that is cut off does.
    let deaf = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    deaf.bind(&"127.0.0.1:0".parse::<SocketAddr>().expect("an address").into()).expect("a port");
    deaf.listen(0).expect("listens");
    let cut_off = deaf.local_addr().expect("bound").as_socket().expect("an address");
    let _fill: Vec<_> = (0..3)
        .map(|_| std::net::TcpStream::connect_timeout(&cut_off, std::time::Duration::from_millis(50)))
        .collect();
    crate::spawn(move || {
        assert!(dial(open, 1.0).is_ok());
        assert_eq!(dial(free, 1.0).expect_err("nobody listens").kind(), io::ErrorKind::ConnectionRefused);
        let began = now();
        assert_eq!(dial(cut_off, 0.2).expect_err("silent").kind(), io::ErrorKind::TimedOut);
        assert!((0.2..2.0).contains(&(now() - began)));
    })
    .join()
    .expect("all hold");
}
