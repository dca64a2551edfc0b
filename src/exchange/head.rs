//! Checks and cleaning of message heads.

use std::time::Duration;

use http_types::Headers;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::headers::CONNECTION;
use http_types::headers::CONTENT_LENGTH;
use http_types::headers::EXPECT;
use http_types::headers::HeaderName;
use http_types::headers::TRANSFER_ENCODING;

use super::Error;

/// Time that a request has left, in milliseconds; from callers, and to upstreams.
pub const BUDGET_HEADER: &str = "x-request-timeout-ms";
/// Name by which a caller wants to be counted; the peer's address where it is absent.
pub const CALLER_HEADER: &str = "x-caller";

/// Headers that belong to one connection and are not passed on (RFC 9110, 7.6.1).
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Checks what the HTTP library lets through: doubled or odd lengths and codings, by
/// which one request smuggles another past us to an upstream that reads them otherwise.
pub fn check_request(request: &Request) -> Result<(), Error> {
    if let Some(lengths) = request.header(CONTENT_LENGTH) {
        let text = lengths.last().as_str();
        let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
        if lengths.iter().count() != 1 || !digits {
            return Err(Error::Length("content-length"));
        }
    }
    if let Some(codings) = request.header(TRANSFER_ENCODING) {
        let text = codings.last().as_str();
        if codings.iter().count() != 1 || !text.eq_ignore_ascii_case("chunked") {
            return Err(Error::TransferCoding(text.to_owned()));
        }
    }
    if request.header("host").is_some_and(|hosts| hosts.iter().count() != 1) {
        return Err(Error::Malformed("host".to_owned()));
    }
    let path = request.url().path().to_ascii_lowercase();
    if path.contains("%2f") || path.contains("%5c") || path.contains('\\') {
        return Err(Error::Path(path));
    }
    if matches!(request.method(), Method::Connect | Method::Trace) {
        return Err(Error::Method(request.method().to_string()));
    }
    Ok(())
}

/// Takes off what belongs to the caller's connection alone.
pub fn clean_request(request: &mut Request) {
    let headers: &mut Headers = request.as_mut();
    clean(headers);
    headers.remove(EXPECT);
    headers.remove(CONTENT_LENGTH);
}

/// Takes off what belongs to the upstream's connection alone, and values with line ends.
///
/// The HTTP library puts a `date` value that ends in CRLF on answers without one; passed
/// on, it would end the head early and turn the other headers into body.
pub fn clean_response(response: &mut Response) {
    let headers: &mut Headers = response.as_mut();
    clean(headers);
    let broken: Vec<HeaderName> = headers
        .iter()
        .filter(|(_, values)| values.iter().any(|value| value.as_str().contains(['\r', '\n'])))
        .map(|(name, _)| name.clone())
        .collect();
    for name in broken {
        headers.remove(name);
    }
}

/// Time that the request says it has left.
pub fn budget_of(request: &Request) -> Option<Duration> {
    let text = request.header(BUDGET_HEADER)?.last().as_str();
    text.parse().ok().map(Duration::from_millis)
}

fn clean(headers: &mut Headers) {
    let named: Vec<String> = headers
        .get(CONNECTION)
        .into_iter()
        .flat_map(|values| values.iter())
        .flat_map(|value| value.as_str().split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .filter(|name| !matches!(name.as_str(), "" | "host" | "content-length"))
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}
