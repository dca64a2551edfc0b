//! Answers that callers receive when upstreams fail.

use std::time::Duration;
use std::time::Instant;

use async_std::io::WriteExt;
use async_std::task;
use async_std::task::block_on;
use rstest::rstest;

use super::fixture::Fixture;
use super::fixture::Script;

/// Deadline of lookups in the default rules, and what a caller may wait beyond it.
const DEADLINE: Duration = Duration::from_secs(2);
const SLACK: Duration = Duration::from_millis(500);
const CUT_ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nshort";
const CUT_LARGE_ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\nshort";
const NOT_RUN_ANSWER: &str =
    "HTTP/1.1 503 Service Unavailable\r\nx-not-run: true\r\ncontent-length: 0\r\n\r\n";
const ERROR_ANSWER: &str = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 4\r\n\r\nlost";

// One of two upstreams cuts off its answers. A lookup gets a whole answer whichever upstream is
// tried first, because the entry detects the cut before it sends anything to the caller.
#[test]
fn get_one_cuts() {
    block_on(async {
        let fixture = Fixture::start(&[Script::Write(CUT_ANSWER), Script::AnswerLength]).await;
        for at in 1..=8 {
            let answer = fixture.get("/hulls/1").await;
            let sends = fixture.request_count();
            assert!(answer.starts_with("HTTP/1.1 200 "), "request {at}, {sends} sends: {answer}");
        }
    });
}

// An upstream that lives closes connections without an answer. Each check whether it had ended opened two
// more, which upstreams count.
#[test]
fn get_upstream_hangs_up() {
    block_on(async {
        let fixture = Fixture::start(&[Script::HangUp]).await;
        let opened_before = fixture.received.lock().unwrap().connections;
        for _ in 0..8 {
            fixture.get("/hulls/1").await;
            task::sleep(Duration::from_millis(250)).await;
        }
        let opened = fixture.received.lock().unwrap().connections - opened_before;
        let sends = fixture.request_count();
        // Paths to an upstream that is out are checked too.
        assert!(opened <= sends + sends / 2, "{opened} connections for {sends} requests");
    });
}

// An upstream in trouble answers with a status that HTTP does not have. The caller waited until its deadline, or got
// that answer.
#[rstest]
#[case::too_low("HTTP/1.1 000 Odd\r\ncontent-length: 0\r\n\r\n")]
#[case::too_high("HTTP/1.1 999 Odd\r\ncontent-length: 0\r\n\r\n")]
fn get_invalid_status(#[case] invalid: &'static str) {
    block_on(async {
        let fixture = Fixture::start(&[Script::WriteAndHold(invalid)]).await;
        let started = Instant::now();
        let answer = fixture.get("/hulls/1").await;
        assert!(answer.starts_with("HTTP/1.1 502 "), "{answer}");
        assert!(started.elapsed() < DEADLINE / 2, "{:?}", started.elapsed());
    });
}

// A large answer is cut off after its head was relayed. The entry closes the caller's connection
// short of the declared length, which is how HTTP signals a truncated answer.
#[test]
fn get_large_cut() {
    block_on(async {
        let fixture = Fixture::start(&[Script::Write(CUT_LARGE_ANSWER)]).await;
        let answer = fixture.get("/hulls/1").await;
        assert!(answer.contains("content-length: 100000"), "{answer}");
        assert!(answer.ends_with("short"), "{answer}");
    });
}

// The body of an answer stalls after its head was relayed. The caller was left waiting far beyond the
// time that its rule allows; its connection must close short of the answer's end.
#[rstest]
#[case::chunked("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nshort\r\n")]
#[case::large("HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\nshort")]
fn get_body_stalls(#[case] answer: &'static str) {
    block_on(async {
        let fixture = Fixture::start(&[Script::WriteAndHold(answer)]).await;
        let started = Instant::now();
        let answer = fixture.get("/hulls/1").await;
        assert!(started.elapsed() < DEADLINE + SLACK, "{:?}: {answer}", started.elapsed());
        assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
    });
}

// The answer to a request that is not idempotent is cut off or missing. The request may have run:
// the caller must be told `unknown`, not `not-run`, and no other upstream may get the request.
#[test]
fn post_broken_is_unknown() {
    block_on(async {
        for script in [Script::Write(CUT_ANSWER), Script::HangUp] {
            let fixture = Fixture::start(&[script, script]).await;
            let answer = fixture.post("/findings/1", "", "finding").await;
            assert!(answer.starts_with("HTTP/1.1 502 "), "{answer}");
            assert!(answer.contains("x-hemlockfield-outcome: unknown"), "{answer}");
            assert_eq!(fixture.request_count(), 1);
        }
    });
}

// Every upstream refuses the request and declares that it did not run it. The caller is told
// `not-run` and when to retry.
#[test]
fn post_shed_is_not_run() {
    block_on(async {
        let fixture =
            Fixture::start(&[Script::Write(NOT_RUN_ANSWER), Script::Write(NOT_RUN_ANSWER)]).await;
        let answer = fixture.post("/findings/1", "", "finding").await;
        assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
        assert!(answer.contains("x-hemlockfield-outcome: not-run"), "{answer}");
        assert!(answer.contains("retry-after: "), "{answer}");
    });
}

// A lookup is sent to an upstream that hangs up, then to one that declares it not run. The second
// refusal proves nothing about the first attempt, so the caller must not be told `not-run`.
#[test]
fn get_hung_up_then_shed() {
    block_on(async {
        let fixture = Fixture::start(&[Script::HangUp, Script::Write(NOT_RUN_ANSWER)]).await;
        for _ in 0..6 {
            let before = fixture.request_count();
            let answer = fixture.get("/hulls/1").await;
            let hung_up = fixture.request_count() > before + 1;
            assert!(!hung_up || !answer.contains("not-run"), "{answer}");
        }
    });
}

// An upstream's 500 for a request that is not idempotent is relayed to the caller unchanged.
#[test]
fn post_failed_is_passed_on() {
    block_on(async {
        let fixture = Fixture::start(&[Script::Write(ERROR_ANSWER)]).await;
        let answer = fixture.post("/findings/1", "", "finding").await;
        assert!(answer.starts_with("HTTP/1.1 500 "), "{answer}");
        assert!(answer.ends_with("lost"), "{answer}");
        assert!(!answer.contains("x-hemlockfield-outcome"), "{answer}");
    });
}

// The caller disconnects while its lookup is in flight. The entry closes the connection to the
// upstream, which signals the cancellation.
#[test]
fn get_caller_gone() {
    block_on(async {
        let fixture = Fixture::start(&[Script::Hold]).await;
        let mut stream = fixture.connect().await;
        stream.write_all(b"GET /hulls/1 HTTP/1.1\r\nhost: a\r\n\r\n").await.unwrap();
        while fixture.request_count() == 0 {
            task::sleep(Duration::from_millis(5)).await;
        }
        drop(stream);
        while fixture.received.lock().unwrap().closed == 0 {
            task::sleep(Duration::from_millis(5)).await;
        }
    });
}

// Three callers request the same page at once, and the upstream has four slots. All three must run
// concurrently: a concurrency limit per path made the third wait, and refused callers while slots
// were idle.
#[test]
fn get_same_page() {
    block_on(async {
        let fixture = Fixture::start(&[Script::AnswerTogether(3)]).await;
        let path = "/hulls/1";
        let answers = futures::join!(fixture.get(path), fixture.get(path), fixture.get(path));
        for answer in [answers.0, answers.1, answers.2] {
            assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        }
    });
}

// A silent upstream holds a lookup until the deadline. The caller then gets a 504 with the outcome.
#[test]
fn get_silent() {
    block_on(async {
        let fixture = Fixture::start(&[Script::Hold]).await;
        let answer = fixture.get("/hulls/1").await;
        assert!(answer.starts_with("HTTP/1.1 504 "), "{answer}");
        assert!(answer.contains("x-hemlockfield-outcome: failed"), "{answer}");
    });
}
