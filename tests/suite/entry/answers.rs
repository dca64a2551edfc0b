//! What callers receive of upstreams that answer badly.

use std::time::Duration;

use async_std::io::WriteExt;
use async_std::task;
use async_std::task::block_on;

use super::single::Script;
use super::single::Single;

const CUT: &str = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nshort";
const CUT_LARGE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\nshort";
const SHED: &str =
    "HTTP/1.1 503 Service Unavailable\r\nx-not-run: true\r\ncontent-length: 0\r\n\r\n";
const FAILED: &str = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 4\r\n\r\nlost";

// One upstream cuts its answers, the other is sound. A lookup gets a whole answer whichever
// is tried first: the cut is noticed before anything went to the caller.
#[test]
fn get_one_cuts() {
    block_on(async {
        let single = Single::start(&[Script::Write(CUT), Script::Count]).await;
        for _ in 0..8 {
            let heard = single.get("/hulls/1").await;
            assert!(heard.starts_with("HTTP/1.1 200 "), "{heard}");
        }
    });
}

// A large answer breaks off after its head went on. The caller's connection ends short of
// the declared length, which is how HTTP tells it that this was not all.
#[test]
fn get_large_cut() {
    block_on(async {
        let single = Single::start(&[Script::Write(CUT_LARGE)]).await;
        let heard = single.get("/hulls/1").await;
        assert!(heard.contains("content-length: 100000"), "{heard}");
        assert!(heard.ends_with("short"), "{heard}");
    });
}

// A sign-off's answer is cut, or never comes. It may have run: the caller is told that
// this is unknown, never that it was not run, and no other upstream gets it.
#[test]
fn post_broken_is_unknown() {
    block_on(async {
        for script in [Script::Write(CUT), Script::HangUp] {
            let single = Single::start(&[script, script]).await;
            let heard = single.post("/findings/1", "", "finding").await;
            assert!(heard.starts_with("HTTP/1.1 502 "), "{heard}");
            assert!(heard.contains("x-hemlockfield-outcome: unknown"), "{heard}");
            assert_eq!(single.heads(), 1);
        }
    });
}

// Every upstream sheds, and documents that it did not run the sign-off. The caller is told
// `not-run` and when to come back.
#[test]
fn post_shed_is_not_run() {
    block_on(async {
        let single = Single::start(&[Script::Write(SHED), Script::Write(SHED)]).await;
        let heard = single.post("/findings/1", "", "finding").await;
        assert!(heard.starts_with("HTTP/1.1 503 "), "{heard}");
        assert!(heard.contains("x-hemlockfield-outcome: not-run"), "{heard}");
        assert!(heard.contains("retry-after: "), "{heard}");
    });
}

// A lookup meets an upstream that hangs up, and then one that sheds. The last one proves
// nothing about the first: the caller must not be told `not-run`.
#[test]
fn get_hung_up_then_shed() {
    block_on(async {
        let single = Single::start(&[Script::HangUp, Script::Write(SHED)]).await;
        for _ in 0..6 {
            let before = single.heads();
            let heard = single.get("/hulls/1").await;
            let hung_up = single.heads() > before + 1;
            assert!(!hung_up || !heard.contains("not-run"), "{heard}");
        }
    });
}

// An upstream's own failure of a sign-off is its answer, and goes to the caller as it is.
#[test]
fn post_failed_is_passed_on() {
    block_on(async {
        let single = Single::start(&[Script::Write(FAILED)]).await;
        let heard = single.post("/findings/1", "", "finding").await;
        assert!(heard.starts_with("HTTP/1.1 500 "), "{heard}");
        assert!(heard.ends_with("lost"), "{heard}");
        assert!(!heard.contains("x-hemlockfield-outcome"), "{heard}");
    });
}

// The caller goes away while its lookup is under way. The upstream's connection is closed,
// which it takes for cancellation.
#[test]
fn get_caller_gone() {
    block_on(async {
        let single = Single::start(&[Script::Hold]).await;
        let mut stream = single.connect().await;
        stream.write_all(b"GET /hulls/1 HTTP/1.1\r\nhost: a\r\n\r\n").await.unwrap();
        while single.heads() == 0 {
            task::sleep(Duration::from_millis(5)).await;
        }
        drop(stream);
        while single.seen.lock().unwrap().closed == 0 {
            task::sleep(Duration::from_millis(5)).await;
        }
    });
}

// Three callers want the same page at the same time, and the upstream has four slots. All
// are at work at once: a share of the turns for each address made the third one wait, and
// refused callers while slots idled.
#[test]
fn get_same_page() {
    block_on(async {
        let single = Single::start(&[Script::Together(3)]).await;
        let path = "/hulls/1";
        let heard = futures::join!(single.get(path), single.get(path), single.get(path));
        for heard in [heard.0, heard.1, heard.2] {
            assert!(heard.starts_with("HTTP/1.1 200 "), "{heard}");
        }
    });
}

// A silent upstream holds a lookup until its time is up: the caller is told at its
// deadline, with the outcome, and the entry is free for others at once.
#[test]
fn get_silent() {
    block_on(async {
        let single = Single::start(&[Script::Hold]).await;
        let heard = single.get("/hulls/1").await;
        assert!(heard.starts_with("HTTP/1.1 504 "), "{heard}");
        assert!(heard.contains("x-hemlockfield-outcome: failed"), "{heard}");
    });
}
