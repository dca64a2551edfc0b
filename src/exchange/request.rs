//! A request: its head, and a body that is whole or still coming.

use compact_str::CompactString;
use compact_str::format_compact;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;

use super::Body;
use super::Error;
use super::head;

/// One request, received or to be sent.
#[derive(Debug)]
pub struct Request {
    /// Body; taken once.
    pub body: Body,
    /// A header that the answer repeats as it was sent. An answer with another value is a
    /// late one to somebody else, and is passed over.
    pub echo: Option<HeaderName>,
    /// Headers, without those that frame the message.
    pub headers: HeaderMap,
    /// Method.
    pub method: Method,
    /// Path and query, byte for byte as received.
    pub target: CompactString,
}

impl Request {
    /// A request without headers or body.
    pub fn new(method: Method, target: &str) -> Self {
        let target = target.into();
        Self { body: Body::Empty, echo: None, headers: HeaderMap::new(), method, target }
    }

    /// Reads a request's head; its body is framed by the headers and not taken yet.
    ///
    /// # Errors
    ///
    /// Where it is no head, or one that could be read in two ways.
    pub fn parse(bytes: &[u8]) -> Result<Self, Error> {
        let mut headers = [httparse::EMPTY_HEADER; head::HEADERS_MAX];
        let mut parsed = httparse::Request::new(&mut headers);
        let status = parsed.parse(bytes).map_err(head::malformed)?;
        let (Some(method), Some(path), Some(1)) = (parsed.method, parsed.path, parsed.version)
        else {
            return Err(Error::Malformed("its first line".to_owned()));
        };
        if status.is_partial() {
            return Err(Error::Malformed("it breaks off".to_owned()));
        }
        let method = Method::from_bytes(method.as_bytes())
            .map_err(|_| Error::Malformed(method.to_owned()))?;
        let headers = head::map(parsed.headers)?;
        let request = Self { headers, ..Self::new(method, head::origin_form(path)) };
        head::check_request(&request)?;
        Ok(request)
    }

    /// The path, without a query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// A value of the query, percent-decoded.
    pub fn query(&self, name: &str) -> Option<CompactString> {
        let (_, query) = self.target.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.into_iter().find(|(key, _)| *key == name)?.1;
        Some(percent_encoding::percent_decode_str(value).decode_utf8_lossy().into())
    }

    /// A header's last value, where it is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        head::last(&self.headers, name)
    }

    /// Sets a header; values that no header can hold are left out.
    pub fn set_header(&mut self, name: HeaderName, value: impl AsRef<str>) {
        head::set(&mut self.headers, name, value.as_ref());
    }

    /// The host that is asked, in small letters, without its port.
    pub fn host(&self) -> CompactString {
        let host = self.header("host").unwrap_or_default();
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        CompactString::from(name).to_ascii_lowercase()
    }

    /// Head as bytes, with room for the body that goes out with it.
    pub(super) fn encode(&self) -> Vec<u8> {
        let mut bytes =
            Vec::with_capacity(512 + self.body.len().unwrap_or_default().min(65_536) as usize);
        let line = format_compact!("{} {} HTTP/1.1\r\n", self.method, self.target);
        bytes.extend_from_slice(line.as_bytes());
        head::encode(&self.headers, &mut bytes);
        let plain = matches!(self.method, Method::GET | Method::HEAD | Method::DELETE);
        match self.body.len() {
            Some(0) if plain => (),
            Some(length) => head::encode_length(length, &mut bytes),
            None => bytes.extend_from_slice(head::CHUNKED),
        }
        bytes.extend_from_slice(b"\r\n");
        bytes
    }

    /// The value that the answer has to repeat.
    pub(super) fn echoed(&self) -> Option<(HeaderName, HeaderValue)> {
        let name = self.echo.clone()?;
        let value = self.headers.get(&name)?.clone();
        Some((name, value))
    }
}
