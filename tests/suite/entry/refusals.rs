//! What the entry answers by itself.

use async_std::task::block_on;
use rstest::rstest;

use super::single::Script;
use super::single::Single;

#[rstest]
#[case::no_rule("/nowhere", "404")]
#[case::refused_by_rule("/closed/1", "410")]
#[case::no_upstream("/certificates/1", "503")]
fn get_refused(#[case] path: &str, #[case] status: &str) {
    block_on(async {
        let single = Single::start(&[Script::Count]).await;
        let heard = single.get(path).await;
        assert!(heard.starts_with(&format!("HTTP/1.1 {status} ")), "{heard}");
        assert!(heard.contains("x-hemlockfield-outcome: not-run"), "{heard}");
        assert_eq!(single.heads(), 0);
    });
}

#[test]
fn post_without_key() {
    block_on(async {
        let single = Single::start(&[Script::Count]).await;
        let heard = single.post("/keyed/1", "", "finding").await;
        assert!(heard.starts_with("HTTP/1.1 428 "), "{heard}");
        assert_eq!(single.heads(), 0);
    });
}

// The caller lost its answer and sends the sign-off again with its key. It gets the first
// answer, marked as such, and the upstream sees the request once. The same key for other
// content is refused.
#[test]
fn post_resent() {
    block_on(async {
        let single = Single::start(&[Script::Count]).await;
        let key = "idempotency-key: 17\r\n";
        let first = single.post("/keyed/1", key, "finding").await;
        assert!(first.starts_with("HTTP/1.1 200 "), "{first}");
        let mut again = single.post("/keyed/1", key, "finding").await;
        while again.contains("in-progress") {
            again = single.post("/keyed/1", key, "finding").await;
        }
        assert!(again.starts_with("HTTP/1.1 200 "), "{again}");
        assert!(again.contains("x-hemlockfield-replayed: true"), "{again}");
        assert!(again.ends_with('7'), "{again}");
        let other = single.post("/keyed/1", key, "another finding").await;
        assert!(other.starts_with("HTTP/1.1 422 "), "{other}");
        assert_eq!(single.heads(), 1);
    });
}

// Callers without a name get a list that names this entry, with a lifetime.
#[test]
fn get_entries() {
    block_on(async {
        let single = Single::start(&[Script::Count]).await;
        let heard = single.get("/.well-known/hemlockfield/entries").await;
        let address = single.node.callers().unwrap().to_string();
        assert!(heard.contains(&address), "{heard}");
        assert!(heard.contains("lifetime_ms"), "{heard}");
    });
}
