//! Operations that upstreams, operators and callers request from a process.

use hemlockfield::boundary::Boundary;
use hemlockfield::boundary::Operation;
use hemlockfield::exchange::Request;
use hemlockfield::platform::Platform;
use hemlockfield::registry::State;
use http::Method;
use rstest::rstest;

const ANNOUNCEMENT: &str = r#"{"address": "10.1.0.9:8080", "born": 1760000000123, "coldRemainingS": 1.5, "sequence": 7,
    "service": "hull-register", "slots": 4, "state": "ready", "zone": "north", "later": [1]}"#;

fn parse(method: Method, target: &str, body: &str) -> Result<Operation, u16> {
    let request = Request::new(method, target);
    Platform.parse_operation(&request, body.as_bytes()).map_err(|refusal| refusal.status)
}

// An announcement with an unknown field is accepted, and the field is ignored.
#[test]
fn parse_operation_announcement() {
    let Ok(Operation::Announce(change)) =
        parse(Method::PUT, "/hemlockfield/instances/i-7", ANNOUNCEMENT)
    else {
        panic!("no announcement");
    };
    assert_eq!(change.sequence, 7);
    let announcement = change.announcement;
    assert_eq!(announcement.incarnation, 1_760_000_000_123);
    assert_eq!(announcement.upstream, "i-7");
    assert_eq!(announcement.domain, "north");
    assert_eq!(announcement.slots, 4);
    assert_eq!(announcement.state, State::Ready);
    assert_eq!(announcement.warm_up.as_millis(), 1500);
}

// An invalid announcement is refused at once with the reason and changes nothing.
#[rstest]
#[case::no_json("ready")]
#[case::empty("")]
#[case::truncated("{\"address\": \"10.1")]
#[case::bad_address(&ANNOUNCEMENT.replace("10.1.0.9:8080", "north"))]
#[case::bad_state(&ANNOUNCEMENT.replace("ready", "perhaps"))]
#[case::negative_slots(&ANNOUNCEMENT.replace("\"slots\": 4", "\"slots\": -4"))]
#[case::no_sequence(&ANNOUNCEMENT.replace("\"sequence\": 7,", ""))]
#[case::born_is_text(&ANNOUNCEMENT.replace("1760000000123", "\"soon\""))]
#[case::deep(&"[".repeat(100_000))]
fn parse_operation_announcement_invalid(#[case] body: &str) {
    assert_eq!(parse(Method::PUT, "/hemlockfield/instances/i-7", body), Err(400));
}

// A wrong warm-up time must not keep an upstream idle forever or crash the process.
#[rstest]
#[case::negative("-1e300")]
#[case::huge("1e300")]
fn parse_operation_warm_up_invalid(#[case] time: &str) {
    let body = ANNOUNCEMENT.replace("1.5", time);
    let operation = parse(Method::PUT, "/hemlockfield/instances/i-7", &body);
    let Ok(Operation::Announce(change)) = operation else { panic!("{operation:?}") };
    assert!(change.announcement.warm_up.as_secs() <= 600);
}

#[rstest]
#[case::leave(Method::DELETE, "/hemlockfield/instances/i-7", Operation::Leave("i-7".into()))]
#[case::read(Method::GET, "/hemlockfield/config", Operation::ReadConfiguration)]
#[case::ready(Method::GET, "/hemlockfield/readiness", Operation::CheckReadiness)]
#[case::list(Method::GET, "/hemlockfield/resolve?zone=north", Operation::ListEntries("north".into()))]
#[case::list_without_zone(Method::GET, "/hemlockfield/resolve", Operation::ListEntries("".into()))]
fn parse_operation_path(#[case] method: Method, #[case] target: &str, #[case] expected: Operation) {
    assert_eq!(parse(method, target, ""), Ok(expected));
}

#[rstest]
#[case::path(Method::GET, "/hemlockfield/secrets")]
#[case::method(Method::POST, "/hemlockfield/config")]
#[case::no_id(Method::PUT, "/hemlockfield/instances/")]
fn parse_operation_unknown(#[case] method: Method, #[case] target: &str) {
    assert_eq!(parse(method, target, ANNOUNCEMENT), Err(404));
}
