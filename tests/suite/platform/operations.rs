//! What upstreams, operators and callers ask of a process.

use hemlockfield::boundary::Boundary;
use hemlockfield::boundary::Operation;
use hemlockfield::exchange::Request;
use hemlockfield::platform::Platform;
use hemlockfield::registry::State;
use http::Method;
use rstest::rstest;

const ANNOUNCED: &str = r#"{"address": "10.1.0.9:8080", "born": 1760000000123, "coldRemainingS": 1.5, "sequence": 7,
    "service": "hull-register", "slots": 4, "state": "ready", "zone": "north", "later": [1]}"#;

fn parse(method: Method, target: &str, body: &str) -> Result<Operation, u16> {
    let request = Request::new(method, target);
    Platform.parse_operation(&request, body.as_bytes()).map_err(|refusal| refusal.status)
}

// An upstream announces itself, with a field that is new to us: it is taken, and the field
// left alone.
#[test]
fn order_announcement() {
    let Ok(Operation::Announce(change)) =
        parse(Method::PUT, "/hemlockfield/instances/i-7", ANNOUNCED)
    else {
        panic!("no announcement");
    };
    assert_eq!(change.sequence, 7);
    let said = change.announcement;
    assert_eq!(said.incarnation, 1_760_000_000_123);
    assert_eq!(said.upstream, "i-7");
    assert_eq!(said.domain, "north");
    assert_eq!(said.slots, 4);
    assert_eq!(said.state, State::Ready);
    assert_eq!(said.warm_up.as_millis(), 1500);
}

// An operator or upstream makes a mistake. It gets an error at once that says what is wrong,
// and nothing changes.
#[rstest]
#[case::no_json("ready")]
#[case::empty("")]
#[case::cut("{\"address\": \"10.1")]
#[case::bad_address(&ANNOUNCED.replace("10.1.0.9:8080", "north"))]
#[case::bad_state(&ANNOUNCED.replace("ready", "perhaps"))]
#[case::negative_slots(&ANNOUNCED.replace("\"slots\": 4", "\"slots\": -4"))]
#[case::no_sequence(&ANNOUNCED.replace("\"sequence\": 7,", ""))]
#[case::born_is_text(&ANNOUNCED.replace("1760000000123", "\"soon\""))]
#[case::deep(&"[".repeat(100_000))]
fn order_announcement_wrong(#[case] body: &str) {
    assert_eq!(parse(Method::PUT, "/hemlockfield/instances/i-7", body), Err(400));
}

// A wrong time must not keep an upstream idle for good, or stop the process.
#[rstest]
#[case::negative("-1e300")]
#[case::huge("1e300")]
fn order_cold_time_wrong(#[case] time: &str) {
    let body = ANNOUNCED.replace("1.5", time);
    let order = parse(Method::PUT, "/hemlockfield/instances/i-7", &body);
    let Ok(Operation::Announce(change)) = order else { panic!("{order:?}") };
    assert!(change.announcement.warm_up.as_secs() <= 600);
}

#[rstest]
#[case::leave(Method::DELETE, "/hemlockfield/instances/i-7", Operation::Leave("i-7".into()))]
#[case::read(Method::GET, "/hemlockfield/config", Operation::ReadConfiguration)]
#[case::ready(Method::GET, "/hemlockfield/readiness", Operation::CheckReadiness)]
#[case::list(Method::GET, "/hemlockfield/resolve?zone=north", Operation::ListEntries("north".into()))]
#[case::list_without_zone(Method::GET, "/hemlockfield/resolve", Operation::ListEntries("".into()))]
fn order_read(#[case] method: Method, #[case] target: &str, #[case] meant: Operation) {
    assert_eq!(parse(method, target, ""), Ok(meant));
}

#[rstest]
#[case::path(Method::GET, "/hemlockfield/secrets")]
#[case::method(Method::POST, "/hemlockfield/config")]
#[case::no_id(Method::PUT, "/hemlockfield/instances/")]
fn order_unknown(#[case] method: Method, #[case] target: &str) {
    assert_eq!(parse(method, target, ANNOUNCED), Err(404));
}
