//! Requests that are given up before an answer.

use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpListener;

use async_std::task::block_on;
use hemlockfield::exchange::Body;
use hemlockfield::exchange::Connection;
use hemlockfield::exchange::Failure;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

use super::script::TIMEOUTS;
use super::script::get;

/// What the receiver's system takes before the receiver reads.
const WINDOW_BYTES: usize = 4 * 1024;
const BODY_BYTES: usize = 24 * 1024;

// The system went on sending what an entry had given up, and the request arrived once its path healed.
#[test]
fn send_given_up() {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(WINDOW_BYTES).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(1).unwrap();
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().unwrap();
    block_on(async {
        let connection = Connection::connect(address, TIMEOUTS.connect).await.unwrap();
        let body = Body::from(vec![b'a'; BODY_BYTES]);
        let given_up = connection.send(get("/hull/1"), body, TIMEOUTS).await.err();
        assert!(matches!(given_up, Some(Failure::Silent(_))), "{given_up:?}");
    });
    let (mut stream, _) = listener.accept().unwrap();
    let mut received = Vec::new();
    let end = stream.read_to_end(&mut received);
    assert!(received.len() < BODY_BYTES, "{} bytes, {end:?}", received.len());
}
