//! A response: its head, and a body that is buffered or still being received.

use std::ops::RangeInclusive;

use http::HeaderMap;
use http::HeaderName;
use http::StatusCode;
use httparse::Status;

use super::Body;
use super::BodyError;
use super::Failure;
use super::head;

/// One response, received or to be sent.
#[derive(Debug)]
pub struct Response {
    /// Body.
    pub body: Body,
    /// Headers, without those that frame the body.
    pub headers: HeaderMap,
    /// Status code.
    pub status: u16,
}

/// Statuses that HTTP has.
const STATUSES: RangeInclusive<u16> = 100..=599;
/// Status of a change of protocol. Callers' requests ask for none.
const SWITCHING_PROTOCOLS: u16 = 101;

impl Response {
    /// Creates a response without headers or body.
    pub fn new(status: u16) -> Self {
        Self { body: Body::empty(), headers: HeaderMap::new(), status }
    }

    /// Creates a response with a JSON body.
    pub fn json(status: u16, text: String) -> Self {
        let mut response = Self::new(status);
        response.set_header(http::header::CONTENT_TYPE, "application/json");
        response.body = text.into();
        response
    }

    /// Parses a response's head; its body is left empty.
    ///
    /// # Errors
    ///
    /// If it is not exactly one complete HTTP/1.x head, or its status is none that an answer can have.
    pub(super) fn parse(bytes: &[u8]) -> Result<Self, Failure> {
        let mut headers = [httparse::EMPTY_HEADER; head::MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut headers);
        let malformed = |text: String| Failure::Malformed(text);
        let status = parsed.parse(bytes).map_err(|error| malformed(error.to_string()))?;
        let (Status::Complete(length), Some(code)) = (status, parsed.code) else {
            return Err(malformed("its first line".to_owned()));
        };
        if length != bytes.len() {
            return Err(malformed("it is not exactly one head".to_owned()));
        }
        if !STATUSES.contains(&code) || code == SWITCHING_PROTOCOLS {
            return Err(malformed(format!("status {code:03}")));
        }
        let headers = head::map(parsed.headers).map_err(|error| malformed(error.to_string()))?;
        Ok(Self { body: Body::empty(), headers, status: code })
    }

    /// Whether the status is 2xx.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Last value of the header `name`, if it is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        head::last(&self.headers, name)
    }

    /// Sets a header; a value that is not valid in a header is logged and left out.
    pub fn set_header(&mut self, name: HeaderName, value: impl AsRef<str>) {
        head::set(&mut self.headers, name, value.as_ref());
    }

    /// Reads the body to its end as text.
    ///
    /// # Errors
    ///
    /// If the body can't be read to its end.
    pub async fn into_text(self) -> Result<String, BodyError> {
        let bytes = self.body.read_all().await?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Encodes the head, with capacity for a body. `wants_body` is false for the response to a
    /// `HEAD` request, which has no body.
    pub(super) fn encode(&self, wants_body: bool) -> Vec<u8> {
        let mut bytes =
            Vec::with_capacity(512 + self.body.len().unwrap_or_default().min(65_536) as usize);
        let reason = StatusCode::from_u16(self.status).ok();
        let reason = reason.and_then(|status| status.canonical_reason()).unwrap_or("Status");
        bytes.extend_from_slice(format!("HTTP/1.1 {} {reason}\r\n", self.status).as_bytes());
        head::encode(&self.headers, &mut bytes);
        match self.body.len() {
            _ if self.status == 204 || self.status == 304 => (),
            Some(length) => head::encode_length(length, &mut bytes),
            None if wants_body => bytes.extend_from_slice(head::CHUNKED_HEADER),
            None => (),
        }
        bytes.extend_from_slice(b"\r\n");
        bytes
    }
}
