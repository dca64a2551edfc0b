//! Uploads: whole or not at all.

use std::time::Duration;

use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::task;
use async_std::task::block_on;

use super::single::Script;
use super::single::Single;
use super::single::read_all;

const LARGE: usize = 1024 * 1024;

fn head(length: usize, more: &str) -> String {
    format!("POST /gauging/1 HTTP/1.1\r\nhost: a\r\n{more}content-length: {length}\r\n\r\n")
}

#[test]
fn post_large() {
    block_on(async {
        let single = Single::start(&[Script::Count]).await;
        let mut bytes = head(LARGE, "connection: close\r\n").into_bytes();
        bytes.resize(bytes.len() + LARGE, b'x');
        let heard = single.send(&bytes).await;
        assert!(heard.ends_with(&LARGE.to_string()), "{heard}");
    });
}

// The surveyor's connection breaks in the middle of an upload. The upstream never sees it
// as whole: its connection is closed short of the declared length.
#[test]
fn post_cut_by_caller() {
    block_on(async {
        let single = Single::start(&[Script::Count]).await;
        let mut stream = single.connect().await;
        stream.write_all(head(LARGE, "").as_bytes()).await.unwrap();
        stream.write_all(&vec![b'x'; LARGE / 2]).await.unwrap();
        while single.heads() == 0 {
            task::sleep(Duration::from_millis(5)).await;
        }
        drop(stream);
        while single.seen.lock().unwrap().bodies.is_empty() {
            task::sleep(Duration::from_millis(5)).await;
        }
        assert!(single.seen.lock().unwrap().bodies[0] < LARGE);
    });
}

// The upstream refuses an upload before it has read it. The caller gets that answer while
// it is still sending, and no later request travels on either connection.
#[test]
fn post_answered_early() {
    block_on(async {
        let single = Single::start(&[Script::Early]).await;
        let mut stream = single.connect().await;
        stream.write_all(head(64 * LARGE, "").as_bytes()).await.unwrap();
        let mut writer = stream.clone();
        let upload = task::spawn(async move {
            let part = vec![b'x'; LARGE];
            for _ in 0..64 {
                if writer.write_all(&part).await.is_err() {
                    return;
                }
            }
        });
        let heard = read_all(&mut stream).await;
        assert!(heard.starts_with("HTTP/1.1 413 "), "{heard}");
        assert!(heard.contains("connection: close"), "{heard}");
        upload.cancel().await;
    });
}

// A caller that asks first is told to go on once its request has its turn, and not before.
#[test]
fn post_expect_continue() {
    block_on(async {
        let single = Single::start(&[Script::Count]).await;
        let mut stream = single.connect().await;
        let more = "connection: close\r\nexpect: 100-continue\r\n";
        stream.write_all(head(LARGE, more).as_bytes()).await.unwrap();
        let mut told = vec![0; "HTTP/1.1 100 Continue\r\n\r\n".len()];
        stream.read_exact(&mut told).await.unwrap();
        assert!(told.starts_with(b"HTTP/1.1 100 "));
        stream.write_all(&vec![b'x'; LARGE]).await.unwrap();
        let heard = read_all(&mut stream).await;
        assert!(heard.starts_with("HTTP/1.1 200 "), "{heard}");
    });
}

// A caller that asks first for what a rule refuses never uploads.
#[test]
fn post_expect_refused() {
    block_on(async {
        let single = Single::start(&[Script::Count]).await;
        let text = "POST /closed/1 HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\n\
                    content-length: 1000000\r\n\r\n";
        let heard = single.send(text.as_bytes()).await;
        assert!(heard.starts_with("HTTP/1.1 410 "), "{heard}");
    });
}

// A body larger than the rule allows is refused, declared or not.
#[test]
fn post_too_large() {
    block_on(async {
        let single = Single::start(&[Script::Count]).await;
        let text = "POST /findings/1 HTTP/1.1\r\nhost: a\r\ncontent-length: 99000000\r\n\r\n";
        let heard = single.send(text.as_bytes()).await;
        assert!(heard.starts_with("HTTP/1.1 413 "), "{heard}");
        assert_eq!(single.heads(), 0);
    });
}
