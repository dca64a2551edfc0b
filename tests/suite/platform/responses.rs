//! What upstreams' answers mean, and what ours say.

use std::time::Duration;

use hemlockfield::boundary::Boundary;
use hemlockfield::boundary::Classification;
use hemlockfield::boundary::Reply;
use hemlockfield::exchange::Outcome;
use hemlockfield::exchange::Refusal;
use hemlockfield::exchange::Response;
use hemlockfield::platform::Platform;
use http::HeaderName;
use rstest::rstest;

const DIGEST: &str = "hemlockfield-response-signature";
const NOT_RUN: &str = "hemlockfield-not-executed";

// A caller may take only an upstream's own whole answer for one. Whatever else stands at its
// address answers without the digest, and a status that promises that nothing ran is believed
// only where the upstream's header says so: the request would be sent, and run, twice.
#[rstest]
#[case::served(200, &[DIGEST], Classification::Served)]
#[case::not_found_is_an_answer(404, &[DIGEST], Classification::Served)]
#[case::failed(500, &[DIGEST], Classification::Failed)]
#[case::no_digest(200, &[], Classification::Untrusted)]
#[case::gateway_page(502, &[], Classification::Untrusted)]
#[case::busy_unproven(503, &[DIGEST], Classification::Untrusted)]
#[case::busy_proven(503, &[NOT_RUN], Classification::NotRun)]
#[case::limit_unproven(429, &[DIGEST], Classification::Untrusted)]
#[case::another_process(421, &[], Classification::Misdirected)]
#[case::compressed_unasked(200, &[DIGEST, "content-encoding"], Classification::Untrusted)]
fn classify(#[case] status: u16, #[case] headers: &[&'static str], #[case] meant: Classification) {
    let mut response = Response::new(status);
    for name in headers {
        response.set_header(HeaderName::from_static(name), "1");
    }
    assert_eq!(Platform.classify(None, &response), meant);
}

// The operator of a caller reads the reason, and the caller when to come back, in fractions
// of a second too: whole ones would keep it away four times as long as needed.
#[test]
fn refuse_with_time() {
    let refusal = Refusal::not_run(503, "no room", Duration::from_millis(250));
    let response = Platform.refuse(&refusal);
    assert_eq!(response.status, 503);
    assert_eq!(response.header("retry-after"), Some("0.250"));
}

// What may have run is never answered with a status that promises that it has not.
#[test]
fn refuse_perhaps_run() {
    let refusal = Refusal::new(502, Outcome::Unknown, "connection closed");
    let response = Platform.refuse(&refusal);
    assert_eq!(response.status, 502);
    assert_eq!(response.header("retry-after"), None);
}

#[test]
fn done_entries() {
    let entries = vec!["10.0.0.1:80".parse().unwrap(), "10.0.0.2:80".parse().unwrap()];
    let mut response = Platform.respond(Reply::Entries(entries, Duration::from_millis(2500)));
    let text = async_std::task::block_on(response.body_text()).unwrap();
    let list: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(list["addresses"], serde_json::json!(["10.0.0.1:80", "10.0.0.2:80"]));
    assert_eq!(list["ttlS"], 2.5);
}

// A process without a configuration says so with a time to ask again, not with an empty one.
#[test]
fn done_no_configuration() {
    let response = Platform.respond(Reply::Configuration(None));
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
}
