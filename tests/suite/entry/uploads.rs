//! Uploads arrive whole or are visibly cut off.

use std::time::Duration;

use async_std::future::timeout;
use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::task;
use async_std::task::block_on;
use rstest::rstest;

use super::fixture::Fixture;
use super::fixture::Script;
use super::fixture::read_all;

const LARGE_BODY: usize = 1024 * 1024;
/// Default idle time of a connection.
const IDLE_TIME: Duration = Duration::from_secs(60);

fn head(length: usize, more: &str) -> String {
    format!("POST /gauging/1 HTTP/1.1\r\nhost: a\r\n{more}content-length: {length}\r\n\r\n")
}

#[test]
fn post_large() {
    block_on(async {
        let fixture = Fixture::start(&[Script::AnswerLength]).await;
        let mut bytes = head(LARGE_BODY, "connection: close\r\n").into_bytes();
        bytes.resize(bytes.len() + LARGE_BODY, b'x');
        let answer = fixture.send(&bytes).await;
        assert!(answer.ends_with(&LARGE_BODY.to_string()), "{answer}");
    });
}

// The caller's connection breaks in the middle of an upload. The entry resets the connection to the
// upstream short of the body's end, so that the upload does not appear complete, not even to an
// upstream that takes the end of a connection for that of a body.
#[rstest]
#[case::chunked(chunked)]
#[case::length(with_length)]
fn post_cut_by_caller(#[case] encode: fn(&[u8]) -> Vec<u8>) {
    block_on(async {
        let fixture = Fixture::start(&[Script::AnswerLength]).await;
        let mut stream = fixture.connect().await;
        stream.write_all(&encode(&vec![b'x'; LARGE_BODY])[..LARGE_BODY / 2]).await.unwrap();
        while fixture.request_count() == 0 {
            task::sleep(Duration::from_millis(5)).await;
        }
        drop(stream);
        while fixture.received.lock().unwrap().bodies.is_empty() {
            task::sleep(Duration::from_millis(5)).await;
        }
        assert!(fixture.received.lock().unwrap().bodies[0] < LARGE_BODY);
        assert_eq!(fixture.received.lock().unwrap().resets, 1);
    });
}

// The upstream refuses an upload before reading it. The caller gets the answer while it is still
// sending, and its connection is closed, because unread body bytes remain on it.
#[test]
fn post_answered_early() {
    block_on(async {
        let fixture = Fixture::start(&[Script::AnswerEarly]).await;
        let mut stream = fixture.connect().await;
        stream.write_all(head(64 * LARGE_BODY, "").as_bytes()).await.unwrap();
        let mut writer = stream.clone();
        let upload = task::spawn(async move {
            let part = vec![b'x'; LARGE_BODY];
            for _ in 0..64 {
                if writer.write_all(&part).await.is_err() {
                    return;
                }
            }
        });
        let answer = read_all(&mut stream).await;
        assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
        assert!(answer.contains("connection: close"), "{answer}");
        upload.cancel().await;
    });
}

// The upstream begins an answer without a length at once, and resets the connection while it is sent the upload. The
// caller must not take that part for the whole answer.
#[rstest]
#[case::plain("HTTP/1.1 200 OK\r\n\r\npart")]
#[case::closing("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\npart")]
fn post_answered_early_cut(#[case] begun: &'static str) {
    block_on(async {
        let fixture = Fixture::start(&[Script::Write(begun)]).await;
        for _ in 0..8 {
            let mut bytes = head(8 * LARGE_BODY, "connection: close\r\n").into_bytes();
            bytes.resize(bytes.len() + 8 * LARGE_BODY, b'x');
            let mut stream = fixture.connect().await;
            let mut writer = stream.clone();
            let upload = task::spawn(async move { writer.write_all(&bytes).await });
            let answer = read_all(&mut stream).await;
            assert!(!answer.starts_with("HTTP/1.1 2"), "{answer}");
            upload.cancel().await;
        }
    });
}

// The upstream takes an upload and answers before it has read it. The caller gets the answer at once,
// and the upstream still gets the whole body.
#[rstest]
#[case::chunked(chunked)]
#[case::length(with_length)]
fn post_answered_early_and_read(#[case] encode: fn(&[u8]) -> Vec<u8>) {
    block_on(async {
        let fixture = Fixture::start(&[Script::AnswerThenRead]).await;
        let mut stream = fixture.connect().await;
        let bytes = encode(&vec![b'x'; LARGE_BODY]);
        let (first, rest) = bytes.split_at(LARGE_BODY / 2);
        stream.write_all(first).await.unwrap();
        let mut answer = [0; 4096];
        let count = stream.read(&mut answer).await.unwrap();
        let answer = String::from_utf8_lossy(&answer[..count]).into_owned();
        assert!(answer.starts_with("HTTP/1.1 202 "), "{answer}");
        stream.write_all(rest).await.unwrap();
        while fixture.received.lock().unwrap().bodies.is_empty() {
            task::sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(fixture.received.lock().unwrap().bodies, [LARGE_BODY]);
        // The connection carries the next request.
        stream.write_all(b"GET /closed/1 HTTP/1.1\r\nhost: a\r\n\r\n").await.unwrap();
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).await.unwrap();
        assert_eq!(&answer, b"HTTP/1.1 410");
    });
}

// A caller that sends `expect: 100-continue` is told to continue once its request is admitted.
#[test]
fn post_expect_continue() {
    block_on(async {
        let fixture = Fixture::start(&[Script::AnswerLength]).await;
        let mut stream = fixture.connect().await;
        let more = "connection: close\r\nexpect: 100-continue\r\n";
        stream.write_all(head(LARGE_BODY, more).as_bytes()).await.unwrap();
        let mut told = vec![0; "HTTP/1.1 100 Continue\r\n\r\n".len()];
        stream.read_exact(&mut told).await.unwrap();
        assert!(told.starts_with(b"HTTP/1.1 100 "));
        stream.write_all(&vec![b'x'; LARGE_BODY]).await.unwrap();
        let answer = read_all(&mut stream).await;
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    });
}

// A request with `expect: 100-continue` that a rule refuses gets the refusal without an upload.
#[test]
fn post_expect_refused() {
    block_on(async {
        let fixture = Fixture::start(&[Script::AnswerLength]).await;
        let text = "POST /closed/1 HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\n\
                    content-length: 1000000\r\n\r\n";
        let answer = fixture.send(text.as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 410 "), "{answer}");
    });
}

// A request that declares a body larger than its rule allows is refused without an upstream.
#[test]
fn post_too_large() {
    block_on(async {
        let fixture = Fixture::start(&[Script::AnswerLength]).await;
        let text = "POST /findings/1 HTTP/1.1\r\nhost: a\r\ncontent-length: 99000000\r\n\r\n";
        let answer = fixture.send(text.as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
        assert_eq!(fixture.request_count(), 0);
    });
}

/// A whole request, to stand at the start of a body.
const HIDDEN: &str = "POST /findings/hidden HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n";

fn chunked(body: &[u8]) -> Vec<u8> {
    let head = "POST /gauging/1 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    let mut bytes = head.as_bytes().to_vec();
    for part in body.chunks(50_000) {
        bytes.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
        bytes.extend_from_slice(part);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

fn with_length(body: &[u8]) -> Vec<u8> {
    let mut bytes = head(body.len(), "").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Requests that are sent, so that some of them meet the upstream that refuses connections first.
const ATTEMPTS: usize = 8;

// A body must not be lost where the first upstream refuses the connection: the next one ran the
// request with an empty body, and the body's bytes were read as the caller's next request.
#[rstest]
#[case::chunked_small(chunked, b"finding".to_vec())]
#[case::chunked_large(chunked, vec![b'x'; LARGE_BODY])]
#[case::length_large(with_length, vec![b'x'; LARGE_BODY])]
#[case::chunked_hidden(chunked, HIDDEN.as_bytes().to_vec())]
#[case::length_hidden(with_length, HIDDEN.repeat(8_000).into_bytes())]
fn post_connect_refused(#[case] encode: fn(&[u8]) -> Vec<u8>, #[case] body: Vec<u8>) {
    block_on(async {
        let fixture = Fixture::start(&[Script::Absent, Script::AnswerLength]).await;
        for _ in 0..ATTEMPTS {
            let mut stream = fixture.connect().await;
            let mut writer = stream.clone();
            let bytes = encode(&body);
            let upload = task::spawn(async move { writer.write_all(&bytes).await.is_ok() });
            let mut answer = [0; 4096];
            let count = stream.read(&mut answer).await.unwrap();
            let answer = String::from_utf8_lossy(&answer[..count]).into_owned();
            // Without a retry in the budget, the refusal is true.
            let is_true = answer.starts_with("HTTP/1.1 200 ") || answer.contains(": not-run");
            assert!(is_true, "{answer}");
            upload.await;
        }
        let received = fixture.received.lock().unwrap();
        assert!(received.heads.iter().all(|head| head.starts_with("POST /gauging/1 ")));
        assert_eq!(received.bodies, vec![body.len(); received.heads.len()]);
        assert!(!received.bodies.is_empty());
    });
}

// A caller leaves within a body in chunks. No upstream must begin to run a part of it.
#[test]
fn post_small_chunks_cut() {
    block_on(async {
        let fixture = Fixture::start(&[Script::AnswerLength]).await;
        let bytes = chunked(b"finding");
        let mut stream = fixture.connect().await;
        stream.write_all(&bytes[..bytes.len() - 2]).await.unwrap();
        stream.shutdown(std::net::Shutdown::Write).unwrap();
        let answer = read_all(&mut stream).await;
        assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
        assert_eq!(fixture.request_count(), 0);
    });
}

// A body comes so slowly that the request's time is over. The caller is told that it was not run, and
// not only once nothing has come for the idle time.
#[test]
fn post_too_slow() {
    block_on(async {
        let fixture = Fixture::start(&[Script::AnswerLength]).await;
        let head = "POST /findings/1 HTTP/1.1\r\nhost: a\r\nx-request-timeout-ms: 300\r\n\
                    content-length: 7\r\n\r\nfind";
        let answer = timeout(IDLE_TIME / 2, fixture.send(head.as_bytes())).await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
        assert!(answer.contains("x-hemlockfield-outcome: not-run"), "{answer}");
        assert_eq!(fixture.request_count(), 0);
    });
}

// The rest of a body that no upstream took must not be read as a request of the caller.
#[test]
fn post_hidden_unreached() {
    block_on(async {
        let fixture = Fixture::start(&[Script::Absent]).await;
        let bytes = with_length(HIDDEN.repeat(8_000).as_bytes());
        let mut stream = fixture.connect().await;
        let mut writer = stream.clone();
        let upload = task::spawn(async move { writer.write_all(&bytes).await.is_ok() });
        let answer = read_all(&mut stream).await;
        upload.await;
        assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer}");
    });
}
