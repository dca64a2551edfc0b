//! The head of a request.

use compact_str::CompactString;
use compact_str::format_compact;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use httparse::Status;

use super::Error;
use super::head;

/// The head of one request, received or to be sent.
#[derive(Debug)]
pub struct Request {
    /// Header that the upstream may repeat in its answer. An answer that has it with another value
    /// belongs to an earlier request and is skipped.
    pub echo: Option<HeaderName>,
    /// Headers. A received request also has those of its connection and its body's framing until
    /// [`super::clean_request`] removes them.
    pub headers: HeaderMap,
    /// HTTP method.
    pub method: Method,
    /// Path and query, not decoded; an absolute target is reduced to these.
    pub target: CompactString,
}

impl Request {
    /// Creates a request without headers.
    pub fn new(method: Method, target: &str) -> Self {
        let target = target.into();
        Self { echo: None, headers: HeaderMap::new(), method, target }
    }

    /// Parses a request's head.
    ///
    /// # Errors
    ///
    /// If it is not exactly one complete HTTP/1.1 head, has too many headers, or is refused by
    /// [`super::check_request`].
    pub fn parse(bytes: &[u8]) -> Result<Self, Error> {
        let mut headers = [httparse::EMPTY_HEADER; head::MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        let status = parsed.parse(bytes).map_err(head::parse_error)?;
        if status != Status::Complete(bytes.len()) {
            return Err(Error::Malformed("it is not exactly one head".to_owned()));
        }
        let (Some(method), Some(path), Some(1)) = (parsed.method, parsed.path, parsed.version)
        else {
            return Err(Error::Malformed("its first line".to_owned()));
        };
        let method = Method::from_bytes(method.as_bytes())
            .map_err(|_| Error::Malformed(method.to_owned()))?;
        let headers = head::map(parsed.headers)?;
        let request = Self { headers, ..Self::new(method, head::origin_form(path)) };
        head::check_request(&request)?;
        Ok(request)
    }

    /// Path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// First value of the query parameter `name`, percent-decoded; the key is compared as sent, and
    /// `+` is kept.
    pub fn query(&self, name: &str) -> Option<CompactString> {
        let (_, query) = self.target.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.into_iter().find(|(key, _)| *key == name)?.1;
        Some(percent_encoding::percent_decode_str(value).decode_utf8_lossy().into())
    }

    /// Last value of the header `name`, if it is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        head::last(&self.headers, name)
    }

    /// Sets a header. If the value is not valid, this logs the name and changes nothing.
    pub fn set_header(&mut self, name: HeaderName, value: impl AsRef<str>) {
        head::set(&mut self.headers, name, value.as_ref());
    }

    /// Requested host in lower case, without the port; empty if there is none. Not correct for an
    /// IPv6 literal without a port.
    pub fn host(&self) -> CompactString {
        let host = self.header("host").unwrap_or_default();
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        CompactString::from(name).to_ascii_lowercase()
    }

    /// Encodes the head for a body of this length, in chunks if it is not known. There is capacity
    /// for a body up to 64 KiB, as a buffered body is appended.
    pub(super) fn encode(&self, length: Option<u64>) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(512 + length.unwrap_or_default().min(65_536) as usize);
        let request_line = format_compact!("{} {} HTTP/1.1\r\n", self.method, self.target);
        bytes.extend_from_slice(request_line.as_bytes());
        head::encode(&self.headers, &mut bytes);
        let omits_zero_length = matches!(self.method, Method::GET | Method::HEAD | Method::DELETE);
        match length {
            Some(0) if omits_zero_length => (),
            Some(length) => head::encode_length(length, &mut bytes),
            None => bytes.extend_from_slice(head::CHUNKED_HEADER),
        }
        bytes.extend_from_slice(b"\r\n");
        bytes
    }

    /// The echo header with its value in this request. An answer with another value is not
    /// accepted; one without the header is.
    pub(super) fn expected_echo(&self) -> Option<(HeaderName, HeaderValue)> {
        let name = self.echo.clone()?;
        let value = self.headers.get(&name)?.clone();
        Some((name, value))
    }
}
