//! The body of a caller's request while it is forwarded to upstreams.

use std::time::Duration;

use super::Body;
use super::BodyReader;
use super::Failure;
use super::Request;

/// The body of a caller's request.
pub enum Payload {
    /// No body.
    Empty,
    /// Complete, in memory; it can be sent repeatedly.
    Buffered(bytes::Bytes),
    /// Streamed to one upstream; `None` once it was taken. The second field is the declared
    /// length.
    Stream(Option<Box<BodyReader>>, Option<u64>),
}

impl Payload {
    /// Takes the body from `request`. It may have at most `limit` bytes and pause for at most
    /// `idle`. A body with a declared length of at most `max_buffered` bytes is received
    /// completely, so that it can be sent again and a cut is noticed before anything is sent.
    /// Any other body is streamed, so that a large upload needs no memory of its size.
    ///
    /// # Errors
    ///
    /// If a body that is buffered is cut, stalls, is malformed or exceeds its limit.
    pub async fn take(
        request: &mut Request,
        limit: u64,
        max_buffered: u64,
        idle: Duration,
    ) -> Result<Self, Failure> {
        match std::mem::take(&mut request.body) {
            Body::Empty => Ok(Self::Empty),
            Body::Buffered(bytes) => Ok(Self::Buffered(bytes)),
            Body::Stream(mut reader) => {
                reader.set_limits(limit, idle);
                let declared = reader.declared();
                if declared.is_none_or(|length| length > max_buffered) {
                    return Ok(Self::Stream(Some(reader), declared));
                }
                let bytes = reader.read_all().await;
                Ok(Self::Buffered(bytes.map_err(|error| Failure::Upload(error.to_string()))?))
            }
        }
    }

    /// Whether it can still be sent: always, except for a stream that was already taken.
    pub fn is_available(&self) -> bool {
        !matches!(self, Self::Stream(None, _))
    }

    /// Whether it is streamed.
    pub fn is_stream(&self) -> bool {
        matches!(self, Self::Stream(..))
    }

    /// Length in bytes, if it is known before the body is read.
    pub fn len(&self) -> Option<u64> {
        match self {
            Self::Empty => Some(0),
            Self::Buffered(bytes) => Some(bytes.len() as u64),
            Self::Stream(_, length) => *length,
        }
    }

    /// Whether there is no body.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Empty)
    }

    /// Sets the body of a request to an upstream; a stream is moved there.
    pub fn put(&mut self, request: &mut Request) {
        request.body = match self {
            Self::Empty => Body::Empty,
            Self::Buffered(bytes) => Body::Buffered(bytes.clone()),
            Self::Stream(reader, _) => reader.take().map_or(Body::Empty, Body::Stream),
        };
    }
}
