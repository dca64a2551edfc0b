use std::time::Duration;

use async_std::io::ReadExt;
use http_types::Body;
use http_types::Request;

use super::Exact;
use super::Failure;

/// Largest body that is received whole before it is sent on, in bytes: it can then be
/// sent a second time, and a cut is noticed before anything went out. Larger ones
/// stream, so that an upload costs a connection's buffers and not its size.
pub(super) const HELD_MAX: u64 = 64 * 1024;

/// The body of a caller's request.
pub enum Payload {
    /// No body.
    Empty,
    /// Received whole.
    Held(Vec<u8>),
    /// To be passed on as it comes, once.
    Stream(Option<Exact>, Option<u64>),
}

impl Payload {
    /// Takes the body off `request`, which may have at most `limit` bytes, with at most
    /// `idle` between two of them.
    pub async fn take(request: &mut Request, limit: u64, idle: Duration) -> Result<Self, Failure> {
        let chunked = request.header("transfer-encoding").is_some();
        let length = request.len().map(|length| length as u64);
        let source = request.take_body().into_reader();
        match length {
            _ if chunked => Ok(Self::Stream(Some(Exact::new(source, None, limit, idle)), None)),
            None | Some(0) => Ok(Self::Empty),
            Some(length) if length > HELD_MAX => {
                let exact = Exact::new(source, Some(length), limit, idle);
                Ok(Self::Stream(Some(exact), Some(length)))
            }
            Some(length) => {
                let mut exact = Exact::new(source, Some(length), limit, idle);
                let mut bytes = Vec::new();
                let read = exact.read_to_end(&mut bytes).await;
                read.map_err(|error| Failure::Upload(error.to_string()))?;
                Ok(Self::Held(bytes))
            }
        }
    }

    /// Whether the body can be sent once more.
    pub fn is_repeatable(&self) -> bool {
        !matches!(self, Self::Stream(None, _))
    }

    /// Whether the body is still with the caller.
    pub fn is_stream(&self) -> bool {
        matches!(self, Self::Stream(..))
    }

    /// Bytes known beforehand.
    pub fn len(&self) -> Option<u64> {
        match self {
            Self::Empty => Some(0),
            Self::Held(bytes) => Some(bytes.len() as u64),
            Self::Stream(_, length) => *length,
        }
    }

    /// Whether there is no body.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Empty)
    }

    /// Puts the body on a request to an upstream.
    pub fn put(&mut self, request: &mut Request) {
        let kind = request.header("content-type").map(|values| values.last().as_str().to_owned());
        match self {
            Self::Empty => return,
            Self::Held(bytes) => request.set_body(Body::from_bytes(bytes.clone())),
            Self::Stream(exact, length) => {
                let Some(exact) = exact.take() else { return };
                let length = length.and_then(|length| usize::try_from(length).ok());
                request.set_body(Body::from_reader(async_std::io::BufReader::new(exact), length));
            }
        }
        match kind {
            Some(kind) => drop(request.insert_header("content-type", kind)),
            None => drop(request.remove_header("content-type")),
        }
    }
}
