//! What a caller may do on its connection.

use async_std::task::block_on;

use super::heads::heard;

// A caller sends its second request without waiting for the first answer. The library
// alone reads ahead and loses it: the caller would wait for an answer for ever.
#[test]
fn next_pipelined() {
    let first = "POST /1 HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\none";
    let second = "GET /2 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let heard = block_on(heard(format!("{first}{second}").as_bytes()));
    assert!(heard.contains("/1 one"), "{heard}");
    assert!(heard.contains("/2 "), "{heard}");
}

#[test]
fn next_chunked() {
    let text = "POST /1 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n\
                3\r\none\r\n0\r\n\r\n";
    let heard = block_on(heard(text.as_bytes()));
    assert!(heard.contains("/1 one"), "{heard}");
}
