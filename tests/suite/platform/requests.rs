//! Metadata of callers' requests, and headers of requests to upstreams.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Duration;

use hemlockfield::boundary::AttemptContext;
use hemlockfield::boundary::Boundary;
use hemlockfield::exchange::Request;
use hemlockfield::platform::Platform;
use hemlockfield::team::Secret;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use rstest::rstest;

const KEY: HeaderName = HeaderName::from_static("x-api-key");
const TEAM: HeaderName = HeaderName::from_static("hemlockfield-tenant-id");
const PEER: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 1, 0, 9));

fn request(headers: &[(HeaderName, &'static str)]) -> Request {
    let mut request = Request::new(Method::GET, "/hulls/1");
    for (name, value) in headers {
        request.headers.append(name, HeaderValue::from_static(value));
    }
    request
}

// A repeated key header is joined to a single value, which identifies no team. Readers of the first
// and of the last value would otherwise identify two different teams.
#[rstest]
#[case::none(&[], None)]
#[case::one(&[(KEY, "k1")], Some("k1"))]
#[case::two(&[(KEY, "k1"), (KEY, "k2")], Some("k1,k2"))]
fn read_metadata_key(#[case] headers: &[(HeaderName, &'static str)], #[case] key: Option<&str>) {
    assert_eq!(Platform.read_metadata(&request(headers), PEER).key, key.map(Secret::new));
}

// The upstream receives the team that the key proves, and not the key. A team header from the
// caller is dropped even if no key proves a team.
#[rstest]
#[case::proven(Some("port"))]
#[case::unproven(None)]
fn prepare_team(#[case] team: Option<&str>) {
    let mut request = request(&[(KEY, "k1"), (KEY, "k2"), (TEAM, "yard"), (TEAM, "dock")]);
    let remaining = Duration::from_secs(1);
    Platform.prepare(&mut request, &AttemptContext { id: "r1", remaining, team, upstream: "i-1" });
    assert!(!request.headers.contains_key(KEY));
    let sent: Vec<&str> =
        request.headers.get_all(TEAM).iter().map(|value| value.to_str().unwrap()).collect();
    assert_eq!(sent, team.into_iter().collect::<Vec<_>>());
}
