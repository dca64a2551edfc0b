//! Reads for how long an upstream that refused a request wants no further ones.

use std::time::Duration;
use std::time::SystemTime;

use http::HeaderName;
use http::StatusCode;
use http::header;

use super::Response;

/// Longest rest. An upstream that is well again sooner can't say so to an entry that sends it nothing.
const REST_MAX: Duration = Duration::from_secs(300);

/// For how long an upstream that refused a request wants no further ones: `retry-after` of a 503, in seconds,
/// whole or with a fraction, or as a date. `None` if it names no time, or none that can be read. Of several
/// times the longest counts.
pub fn rest(response: &Response, now: SystemTime) -> Option<Duration> {
    if response.status != StatusCode::SERVICE_UNAVAILABLE.as_u16() {
        return None;
    }
    // An upstream's clock may be wrong, and so may this one.
    let now = texts(response, &header::DATE).find_map(date).unwrap_or(now);
    let spans = texts(response, &header::RETRY_AFTER).filter_map(|text| span(text, now));
    spans.max().filter(|span| !span.is_zero()).map(|span| span.min(REST_MAX))
}

fn texts<'a>(response: &'a Response, name: &HeaderName) -> impl Iterator<Item = &'a str> {
    let values = response.headers.get_all(name).iter();
    values.filter_map(|value| value.to_str().ok()).map(str::trim)
}

fn span(text: &str, now: SystemTime) -> Option<Duration> {
    if let Some(at) = date(text) {
        return at.duration_since(now).ok();
    }
    let is_decimal = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let seconds: f64 = text.parse().ok().filter(|_| is_decimal)?;
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(REST_MAX))
}

fn date(text: &str) -> Option<SystemTime> {
    httpdate::parse_http_date(text).ok()
}
