//! Bodies of callers: sent once, never lost, never read as a request.

use std::future::Future;
use std::time::Duration;

use async_std::future::timeout;
use async_std::io::WriteExt;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task::block_on;
use hemlockfield::exchange::Body;
use hemlockfield::exchange::BodyError;
use hemlockfield::exchange::Bounds;
use hemlockfield::exchange::Failure;
use hemlockfield::exchange::Memory;
use hemlockfield::exchange::Received;
use hemlockfield::exchange::RequestReader;
use hemlockfield::exchange::Response;
use rstest::rstest;

use super::script::TIMEOUTS;

const CHUNKED: &str = "POST /1 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
const LENGTH: &str = "POST /1 HTTP/1.1\r\nhost: a\r\ncontent-length: 50\r\n\r\n";
/// A whole request, of 50 bytes.
const HIDDEN: &str = "GET /stolen HTTP/1.1\r\nhost: abcdefghijklmnopqr\r\n\r\n";
const PATIENCE: Duration = Duration::from_millis(300);

fn bounds(memory: &Memory) -> Bounds<'_> {
    Bounds { buffer: 10, idle: PATIENCE, memory, size: 1 << 20 }
}

/// Has a caller send `bytes` and wait, and a server read them.
fn serve<F: Future<Output = ()>>(bytes: &str, serve: impl FnOnce(RequestReader, TcpStream) -> F) {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut caller = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (stream, peer) = listener.accept().await.unwrap();
        caller.write_all(bytes.as_bytes()).await.unwrap();
        serve(RequestReader::new(stream, peer), caller).await;
    });
}

// A streamed body was sent to one upstream. Sent to another one, it must not be taken for an empty
// one.
#[rstest]
#[case::chunked(&format!("{CHUNKED}32\r\n{HIDDEN}\r\n"))]
#[case::length(LENGTH)]
fn begin_twice(#[case] bytes: &str) {
    serve(bytes, |mut reader, caller| async move {
        let _open = caller;
        let Received { mut payload, .. } = reader.next(PATIENCE).await.unwrap().unwrap();
        payload.receive(bounds(&Memory::new(100))).await.unwrap();
        assert!(payload.is_available());
        assert!(matches!(payload.begin(), Ok(Body::Stream(_))));
        assert!(!payload.is_available());
        assert!(matches!(payload.begin(), Err(Failure::Spent)));
        assert_eq!(payload.len(), None);
        assert!(!payload.is_empty());
    });
}

// A body of which a part was received when receiving was given up lacks that part.
#[test]
fn begin_after_receive_was_dropped() {
    let bytes = "POST /1 HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nfind";
    serve(bytes, |mut reader, caller| async move {
        let _open = caller;
        let Received { mut payload, .. } = reader.next(PATIENCE).await.unwrap().unwrap();
        let memory = Memory::new(100);
        let receive = payload.receive(bounds(&memory));
        assert!(timeout(PATIENCE / 10, receive).await.is_err());
        assert!(matches!(payload.begin(), Err(Failure::Spent)));
        assert_eq!(memory.free(), 100);
    });
}

// A small body in chunks is received whole before it is sent on, so that a cut is seen before any
// upstream runs a part of it, and it can be sent again.
#[rstest]
#[case::one("7\r\nfinding\r\n0\r\n\r\n")]
#[case::many("1\r\nf\r\n5\r\nindin\r\n1\r\ng\r\n0\r\n\r\n")]
fn receive_small_chunks(#[case] chunks: &str) {
    serve(&format!("{CHUNKED}{chunks}"), |mut reader, caller| async move {
        let _open = caller;
        let Received { mut payload, .. } = reader.next(PATIENCE).await.unwrap().unwrap();
        let memory = Memory::new(100);
        payload.receive(bounds(&memory)).await.unwrap();
        assert_eq!(memory.free(), 93);
        for _ in 0..2 {
            assert_eq!(payload.begin().unwrap().read_all().await.unwrap(), "finding");
        }
        drop(payload);
        assert_eq!(memory.free(), 100);
    });
}

// Many callers that send slowly must not fill the memory: a body for which there is none is
// streamed, with all that was received of it.
#[test]
fn receive_without_memory() {
    let bytes = format!("{CHUNKED}3\r\nfin\r\n4\r\nding\r\n0\r\n\r\n");
    serve(&bytes, |mut reader, caller| async move {
        let _open = caller;
        let Received { mut payload, .. } = reader.next(PATIENCE).await.unwrap().unwrap();
        payload.receive(bounds(&Memory::new(4))).await.unwrap();
        assert!(payload.is_stream());
        let body = payload.begin().unwrap();
        assert_eq!(body.len(), None);
        assert_eq!(body.read_all().await.unwrap(), "finding");
    });
}

// Readers that differ on where a chunk ends differ on what is a request.
#[rstest]
#[case::size_ends_in_line_feed("7\nfinding\r\n0\r\n\r\n")]
#[case::chunk_ends_in_line_feed("7\r\nfinding\n0\r\n\r\n")]
#[case::last_line_ends_in_line_feed("7\r\nfinding\r\n0\r\n\n")]
#[case::line_feed_in_extension("7;a\nb\r\nfinding\r\n0\r\n\r\n")]
#[case::sign("+7\r\nfinding\r\n0\r\n\r\n")]
#[case::longer_than_its_size("6\r\nfinding\r\n0\r\n\r\n")]
#[case::endless_trailers(&format!("0\r\n{}", "a: b\r\n".repeat(10_000)))]
fn receive_malformed_chunks(#[case] chunks: &str) {
    serve(&format!("{CHUNKED}{chunks}"), |mut reader, caller| async move {
        let _open = caller;
        let Received { mut payload, .. } = reader.next(PATIENCE).await.unwrap().unwrap();
        let error = payload.receive(bounds(&Memory::new(100))).await.unwrap_err();
        assert!(matches!(error, BodyError::Malformed(_)), "{error}");
        assert!(reader.next(TIMEOUTS.idle).await.unwrap().is_none());
    });
}

// A request stands in a body that nobody has read. It must not be read as the caller's next one,
// whatever was answered.
#[rstest]
#[case::length(format!("{LENGTH}{HIDDEN}"))]
#[case::length_behind_a_part(format!("{LENGTH}{HIDDEN}{HIDDEN}"))]
#[case::chunked(format!("{CHUNKED}{HIDDEN}"))]
fn next_behind_unread_body(#[case] bytes: String, #[values(false, true)] is_answered: bool) {
    serve(&bytes, |mut reader, caller| async move {
        let Received { mut writer, .. } = reader.next(PATIENCE).await.unwrap().unwrap();
        if is_answered {
            writer.send(Response::new(200)).await.unwrap();
            assert!(writer.is_closing());
        }
        drop(caller);
        assert!(reader.next(TIMEOUTS.idle).await.unwrap().is_none());
    });
}

// The body was read to its end, so that the next request follows.
#[test]
fn next_behind_read_body() {
    serve(&format!("{LENGTH}{HIDDEN}{HIDDEN}"), |mut reader, caller| async move {
        let _open = caller;
        let Received { payload, mut writer, .. } = reader.next(PATIENCE).await.unwrap().unwrap();
        let body = payload.read_all(1 << 20, PATIENCE).await.unwrap();
        assert_eq!(body, HIDDEN.as_bytes());
        writer.send(Response::new(200)).await.unwrap();
        assert!(!writer.is_closing());
        let Received { request, .. } = reader.next(PATIENCE).await.unwrap().unwrap();
        assert_eq!(request.path(), "/stolen");
    });
}
