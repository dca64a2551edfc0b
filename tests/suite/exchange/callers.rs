//! Requests that callers send on one connection.

use async_std::task::block_on;

use super::heads::received;

// A caller sends its second request before it has the first answer. A reader that discards the
// bytes behind the first request would never answer the second one.
#[test]
fn next_pipelined() {
    let first = "POST /1 HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\none";
    let second = "GET /2 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let received = block_on(received(format!("{first}{second}").as_bytes()));
    assert!(received.contains("/1 one"), "{received}");
    assert!(received.contains("/2 "), "{received}");
}

#[test]
fn next_chunked() {
    let text = "POST /1 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n\
                3\r\none\r\n0\r\n\r\n";
    let received = block_on(received(text.as_bytes()));
    assert!(received.contains("/1 one"), "{received}");
}
