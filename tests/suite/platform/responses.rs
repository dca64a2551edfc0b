//! Classification of upstreams' responses, and responses generated here.

use std::time::Duration;

use hemlockfield::balance::Backpressure;
use hemlockfield::balance::Limit;
use hemlockfield::boundary::Boundary;
use hemlockfield::boundary::Classification;
use hemlockfield::boundary::Reply;
use hemlockfield::exchange::Outcome;
use hemlockfield::exchange::Refusal;
use hemlockfield::exchange::Response;
use hemlockfield::platform::Platform;
use http::HeaderName;
use http::header;
use rstest::rstest;

const DIGEST: &str = "hemlockfield-response-signature";
const NOT_RUN: &str = "hemlockfield-not-executed";

// Only an upstream's own unmodified response may reach the caller; another process at its address
// responds without the digest. A status that promises that the request did not run counts only
// with the upstream's header: otherwise the request would be sent again and run twice.
#[rstest]
#[case::served(200, &[DIGEST], Classification::Served)]
#[case::not_found(404, &[DIGEST], Classification::Served)]
#[case::failed(500, &[DIGEST], Classification::Failed)]
#[case::no_digest(200, &[], Classification::Untrusted)]
#[case::gateway_page(502, &[], Classification::Untrusted)]
#[case::unavailable_unproven(503, &[DIGEST], Classification::Untrusted)]
#[case::unavailable_proven(503, &[NOT_RUN], Classification::NotRun)]
#[case::too_many_requests_unproven(429, &[DIGEST], Classification::Untrusted)]
#[case::another_process(421, &[], Classification::Misdirected)]
#[case::compressed_unrequested(200, &[DIGEST, "content-encoding"], Classification::Untrusted)]
fn classify(
    #[case] status: u16,
    #[case] headers: &[&'static str],
    #[case] expected: Classification,
) {
    let mut response = Response::new(status);
    for name in headers {
        response.set_header(HeaderName::from_static(name), "1");
    }
    assert_eq!(Platform.classify(None, &response), expected);
}

// The retry time keeps fractions of a second. Rounded up to whole seconds it would make the caller
// wait four times as long as needed.
#[test]
fn refuse_retry_after() {
    let refusal = Refusal::not_run(503, "no room", Duration::from_millis(250));
    let response = Platform.refuse(&refusal);
    assert_eq!(response.status, 503);
    assert_eq!(response.header("retry-after"), Some("0.250"));
}

// A request that may have run must not get a status that promises that it did not run.
#[test]
fn refuse_unknown_outcome() {
    let refusal = Refusal::new(502, Outcome::Unknown, "connection closed");
    let response = Platform.refuse(&refusal);
    assert_eq!(response.status, 502);
    assert_eq!(response.header("retry-after"), None);
}

#[test]
fn respond_entries() {
    let entries = vec!["10.0.0.1:80".parse().unwrap(), "10.0.0.2:80".parse().unwrap()];
    let response = Platform.respond(Reply::Entries(entries, Duration::from_millis(2500)));
    let text = async_std::task::block_on(response.into_text()).unwrap();
    let list: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(list["addresses"], serde_json::json!(["10.0.0.1:80", "10.0.0.2:80"]));
    assert_eq!(list["ttlS"], 2.5);
}

// A process without a configuration responds with a retry time and not with an empty document.
#[test]
fn respond_no_configuration() {
    let response = Platform.respond(Reply::Configuration(None));
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
}

// An upstream's request for rest was read by nobody. What is no time must be no rest, and none may stop
// the entry or keep it away for good.
#[rstest]
#[case::whole(503, &["3"], Some(3.0))]
#[case::fraction(503, &[" 1.5 "], Some(1.5))]
#[case::longest(503, &["1", "3"], Some(3.0))]
#[case::date(503, &["Tue, 15 Nov 1994 08:12:33 GMT"], Some(2.0))]
#[case::past(503, &["Tue, 15 Nov 1994 08:12:30 GMT"], None)]
#[case::zero(503, &["0"], None)]
#[case::text(503, &["abc"], None)]
#[case::negative(503, &["-1"], None)]
#[case::not_a_number(503, &["nan"], None)]
#[case::infinite(503, &["inf"], None)]
#[case::exponent(503, &["1e300"], None)]
#[case::dots(503, &["1.2.3"], None)]
#[case::huge(503, &["99999999999999999999999999999"], Some(300.0))]
#[case::served(200, &["3"], None)]
#[case::limited(429, &["3"], None)]
fn rest(#[case] status: u16, #[case] values: &[&str], #[case] seconds: Option<f64>) {
    let mut response = Response::new(status);
    response.set_header(header::DATE, "Tue, 15 Nov 1994 08:12:31 GMT");
    for value in values {
        response.headers.append(header::RETRY_AFTER, value.parse().expect("a header"));
    }
    let expected = seconds.map(Duration::from_secs_f64);
    assert_eq!(Platform.backpressure(&response).rest, expected);
}

// An upstream that leaves says so in any answer.
#[rstest]
#[case::served(200, "1", true)]
#[case::refused(503, "1", true)]
#[case::misdirected(421, "1", true)]
#[case::other(200, "0", false)]
fn leaving(#[case] status: u16, #[case] value: &str, #[case] expected: bool) {
    let mut response = Response::new(status);
    response.set_header(HeaderName::from_static("server-leaving"), value);
    assert_eq!(Platform.backpressure(&response).is_leaving, expected);
}

// A damaged limit must not be taken for zero, which would take the upstream out.
#[rstest]
#[case::fraction("1.9", Limit::new(1.9))]
#[case::whole("12", Limit::new(12.0))]
#[case::zero("0", Limit::new(0.0))]
#[case::spaces(" 3 ", Limit::new(3.0))]
#[case::negative("-1", None)]
#[case::text("few", None)]
#[case::empty("", None)]
fn upstream_limit(#[case] value: &str, #[case] expected: Option<Limit>) {
    let mut response = Response::new(200);
    response.set_header(HeaderName::from_static("server-limit"), value);
    assert_eq!(Platform.backpressure(&response).limit, expected);
    assert_eq!(Platform.backpressure(&Response::new(200)), Backpressure::default());
}
