//! Answers that the entry gives without an upstream.

use async_std::task::block_on;
use rstest::rstest;

use super::fixture::Fixture;
use super::fixture::Script;

#[rstest]
#[case::no_rule("/nowhere", "404")]
#[case::refused_by_rule("/closed/1", "410")]
#[case::no_upstream("/certificates/1", "503")]
fn get_refused(#[case] path: &str, #[case] status: &str) {
    block_on(async {
        let fixture = Fixture::start(&[Script::AnswerLength]).await;
        let answer = fixture.get(path).await;
        assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{answer}");
        assert!(answer.contains("x-hemlockfield-outcome: not-run"), "{answer}");
        assert_eq!(fixture.request_count(), 0);
    });
}

#[test]
fn post_without_key() {
    block_on(async {
        let fixture = Fixture::start(&[Script::AnswerLength]).await;
        let answer = fixture.post("/keyed/1", "", "finding").await;
        assert!(answer.starts_with("HTTP/1.1 428 "), "{answer}");
        assert_eq!(fixture.request_count(), 0);
    });
}

// A caller that lost the answer resends its request with the same idempotency key. It gets the
// first answer, marked as replayed, and the request runs once. The same key with a different body
// is refused.
#[test]
fn post_resent() {
    block_on(async {
        let fixture = Fixture::start(&[Script::AnswerLength]).await;
        let key = "idempotency-key: 17\r\n";
        let first = fixture.post("/keyed/1", key, "finding").await;
        assert!(first.starts_with("HTTP/1.1 200 "), "{first}");
        let mut again = fixture.post("/keyed/1", key, "finding").await;
        while again.contains("in-progress") {
            again = fixture.post("/keyed/1", key, "finding").await;
        }
        assert!(again.starts_with("HTTP/1.1 200 "), "{again}");
        assert!(again.contains("x-hemlockfield-replayed: true"), "{again}");
        assert!(again.ends_with('7'), "{again}");
        let other = fixture.post("/keyed/1", key, "another finding").await;
        assert!(other.starts_with("HTTP/1.1 422 "), "{other}");
        assert_eq!(fixture.request_count(), 1);
    });
}

// A caller that gives no name gets a list with this entry and a lifetime.
#[test]
fn get_entries() {
    block_on(async {
        let fixture = Fixture::start(&[Script::AnswerLength]).await;
        let answer = fixture.get("/.well-known/hemlockfield/entries").await;
        let address = fixture.node.caller_address().unwrap().to_string();
        assert!(answer.contains(&address), "{answer}");
        assert!(answer.contains("lifetime_ms"), "{answer}");
    });
}
