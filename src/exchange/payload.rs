//! The body of a caller's request, on its way to an upstream.

use std::time::Duration;

use super::Body;
use super::Exact;
use super::Failure;
use super::Request;

/// The body of a caller's request.
pub enum Payload {
    /// No body.
    Empty,
    /// Received whole.
    Buffered(bytes::Bytes),
    /// To be passed on as it comes, once.
    Stream(Option<Box<Exact>>, Option<u64>),
}

impl Payload {
    /// Takes the body off `request`, which may have at most `limit` bytes, with at most
    /// `idle` between two of them. One of at most `held` bytes is received whole: it can
    /// then be sent a second time, and a cut is noticed before anything went out. Larger
    /// ones stream, so that an upload costs a connection's buffers and not its size.
    ///
    /// # Errors
    ///
    /// Where a body that is received whole breaks off or is over its limit.
    pub async fn take(
        request: &mut Request,
        limit: u64,
        held: u64,
        idle: Duration,
    ) -> Result<Self, Failure> {
        match std::mem::take(&mut request.body) {
            Body::Empty => Ok(Self::Empty),
            Body::Buffered(bytes) => Ok(Self::Buffered(bytes)),
            Body::Stream(mut exact) => {
                exact.set_limits(limit, idle);
                let declared = exact.declared();
                if declared.is_none_or(|length| length > held) {
                    return Ok(Self::Stream(Some(exact), declared));
                }
                let bytes = exact.read_all().await;
                Ok(Self::Buffered(bytes.map_err(|error| Failure::Upload(error.to_string()))?))
            }
        }
    }

    /// Whether it can be sent, perhaps again.
    pub fn is_available(&self) -> bool {
        !matches!(self, Self::Stream(None, _))
    }

    /// Whether it is passed on as it comes.
    pub fn is_stream(&self) -> bool {
        matches!(self, Self::Stream(..))
    }

    /// Bytes, where they are known beforehand.
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

    /// Puts the body on a request to an upstream.
    pub fn put(&mut self, request: &mut Request) {
        request.body = match self {
            Self::Empty => Body::Empty,
            Self::Buffered(bytes) => Body::Buffered(bytes.clone()),
            Self::Stream(exact, _) => exact.take().map_or(Body::Empty, Body::Stream),
        };
    }
}
