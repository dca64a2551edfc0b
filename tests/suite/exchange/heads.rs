//! Heads of requests that are accepted or refused.

use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use async_std::task::block_on;
use hemlockfield::exchange::Received;
use hemlockfield::exchange::RequestReader;
use hemlockfield::exchange::Response;
use rstest::rstest;

use super::script::TIMEOUTS;

const MAX_BODY_BYTES: u64 = 1 << 20;

/// Sends `bytes` to a server that echoes path and body, and returns all that it answers.
pub(super) async fn received(bytes: &[u8]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        let (stream, peer) = listener.accept().await.unwrap();
        let mut reader = RequestReader::new(stream, peer);
        while let Ok(Some(received)) = reader.next(TIMEOUTS.idle).await {
            let Received { payload, request, mut writer } = received;
            let mut response = Response::new(200);
            let body = payload.read_all(MAX_BODY_BYTES, TIMEOUTS.idle).await;
            let body =
                body.map_or("broken".into(), |body| String::from_utf8_lossy(&body).into_owned());
            response.body = format!("{} {body}", request.path()).into();
            if writer.send(response).await.is_err() || writer.is_closing() {
                break;
            }
        }
        reader.linger().await;
    });
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut received = String::new();
    stream.read_to_string(&mut received).await.ok();
    received
}

#[rstest]
#[case::no_host("GET / HTTP/1.1\r\n\r\n", "400")]
#[case::not_http("EHLO yard\r\n\r\n", "400")]
#[case::two_hosts("GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n", "400")]
#[case::two_lengths(
    "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
    "400"
)]
#[case::signed_length("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: +1\r\n\r\na", "400")]
#[case::length_beyond_any(
    "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999999999999999\r\n\r\nGET /hidden HTTP/1.1\r\nhost: a\r\n\r\n",
    "400"
)]
#[case::two_heads_in_one("GET /1 HTTP/1.1\nhost: a\n\nGET /2 HTTP/1.1\r\nhost: a\r\n\r\n", "400")]
#[case::body_in_head(
    "POST /1 HTTP/1.1\nhost: a\ncontent-length: 7\n\nfinding\r\n\r\nanother",
    "400"
)]
#[case::length_and_chunks(
    "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "400"
)]
#[case::unknown_coding(
    "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: xchunked\r\n\r\n0\r\n\r\n",
    "501"
)]
#[case::folded_header("GET / HTTP/1.1\r\nhost: a\r\nx: 1\r\n 2\r\n\r\n", "400")]
#[case::space_before_colon("GET / HTTP/1.1\r\nhost: a\r\ncontent-length : 4\r\n\r\nabcd", "400")]
#[case::byte_outside_ascii("GET / HTTP/1.1\r\nhost: a\r\nx-name: K\u{e4}the\r\n\r\n", "400")]
#[case::escaped_slash("GET /hulls%2f..%2fcerts HTTP/1.1\r\nhost: a\r\n\r\n", "400")]
#[case::connect("CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n", "501")]
#[case::old_version("GET / HTTP/1.0\r\nhost: a\r\n\r\n", "400")]
fn next_refused(#[case] bytes: &str, #[case] status: &str) {
    let received = block_on(received(bytes.as_bytes()));
    assert!(received.starts_with(&format!("HTTP/1.1 {status} ")), "{received}");
    assert!(received.contains("x-hemlockfield-outcome: not-run"), "{received}");
    assert_eq!(received.matches("HTTP/1.1").count(), 1, "{received}");
}

// The default limit is 16 KiB: a head just below it is served, a longer one is refused.
#[test]
fn next_largest_head() {
    let bytes = format!(
        "GET /1 HTTP/1.1\r\nhost: a\r\nconnection: close\r\nx: {}\r\n\r\n",
        "a".repeat(16_000)
    );
    let received = block_on(received(bytes.as_bytes()));
    assert!(received.starts_with("HTTP/1.1 200 "), "{received}");
}

#[test]
fn next_oversized_head() {
    let bytes = format!("GET / HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n", "a".repeat(17_000));
    let received = block_on(received(bytes.as_bytes()));
    assert!(received.starts_with("HTTP/1.1 431 "), "{received}");
}
