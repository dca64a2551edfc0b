//! The body of a caller's request, until it is sent to an upstream.

use std::time::Duration;

use bytes::Bytes;

use super::Body;
use super::BodyError;
use super::BodyReader;
use super::Failure;
use super::Memory;
use super::Progress;
use super::memory::Share;

/// The body of a caller's request. It leaves here only by [`Payload::begin`], onto a connection that
/// is open.
#[derive(Debug)]
pub struct Payload {
    framing: Option<&'static str>,
    progress: Progress,
    /// Memory of the bytes that are kept.
    share: Option<Share>,
    source: Source,
}

#[derive(Debug)]
enum Source {
    /// Complete, in memory; it can be sent repeatedly.
    Buffered(Bytes),
    /// To be read from the caller.
    Stream(Box<BodyReader>),
    /// Streamed to an upstream, or lost when it could not be received.
    Spent,
}

/// Bounds on how a body is received.
#[derive(Clone, Copy, Debug)]
pub struct Bounds<'a> {
    /// Largest body that is received whole before it is sent on, in bytes.
    pub buffer: u64,
    /// Longest wait for the next byte.
    pub idle: Duration,
    /// Memory for bodies that are received whole.
    pub memory: &'a Memory,
    /// Largest body, in bytes.
    pub size: u64,
}

impl Payload {
    /// The body of a request that has none.
    pub(super) fn empty() -> Self {
        let source = Source::Buffered(Bytes::new());
        Self { framing: None, progress: Progress::completed(), share: None, source }
    }

    /// A body that is still to be read.
    pub(super) fn stream(reader: BodyReader) -> Self {
        let framing = if reader.declared().is_some() { "length" } else { "chunked" };
        let progress = reader.progress();
        let source = Source::Stream(Box::new(reader));
        Self { framing: Some(framing), progress, share: None, source }
    }

    /// Receives the body whole if it is small enough and there is memory for it, so that it can be
    /// sent again, and a cut is noticed before anything is sent. Any other body remains to be
    /// streamed, so that a large upload needs no memory of its size.
    ///
    /// # Errors
    ///
    /// If the body is cut, stalls, is malformed or exceeds its limit. It is spent then, as it is if
    /// the future is dropped.
    pub async fn receive(&mut self, bounds: Bounds<'_>) -> Result<(), BodyError> {
        let mut reader = match std::mem::replace(&mut self.source, Source::Spent) {
            Source::Stream(reader) => reader,
            source => {
                self.source = source;
                return Ok(());
            }
        };
        reader.set_limits(bounds.size, bounds.idle);
        if reader.declared().is_some_and(|length| length > bounds.buffer) {
            self.source = Source::Stream(reader);
            return Ok(());
        }
        let mut share = bounds.memory.share();
        let mut left = bounds.buffer;
        let keeps = |count: u64| {
            let is_kept = count <= left && share.try_grow(count);
            left = left.saturating_sub(count);
            is_kept
        };
        self.source = match reader.read_while(keeps).await? {
            Some(bytes) => Source::Buffered(bytes),
            None => Source::Stream(reader),
        };
        self.share = Some(share);
        Ok(())
    }

    /// Receives the body whole, of at most `size` bytes with pauses of at most `idle`.
    ///
    /// # Errors
    ///
    /// If the body is cut, stalls, is malformed or exceeds its limit.
    pub async fn read_all(self, size: u64, idle: Duration) -> Result<Bytes, BodyError> {
        match self.source {
            Source::Buffered(bytes) => Ok(bytes),
            Source::Stream(mut reader) => {
                reader.set_limits(size, idle);
                reader.read_all().await
            }
            Source::Spent => Err(BodyError::Cut(0)),
        }
    }

    /// Returns the body to send, for a connection that is open. A stream can be sent once.
    ///
    /// # Errors
    ///
    /// [`Failure::Spent`] if the body is no longer there.
    pub fn begin(&mut self) -> Result<Body, Failure> {
        if let Source::Buffered(bytes) = &self.source {
            self.progress.set_sent(bytes.len() as u64);
            return Ok(Body::Buffered(bytes.clone()));
        }
        match std::mem::replace(&mut self.source, Source::Spent) {
            Source::Stream(reader) => Ok(Body::Stream(reader)),
            Source::Buffered(_) | Source::Spent => Err(Failure::Spent),
        }
    }

    /// A second payload of the same bytes, to be sent at the same time; `None` unless they are all
    /// in memory.
    pub fn duplicate(&self) -> Option<Self> {
        let Source::Buffered(bytes) = &self.source else { return None };
        let source = Source::Buffered(bytes.clone());
        Some(Self { framing: self.framing, progress: self.progress.clone(), share: None, source })
    }

    /// The whole body, if it is in memory.
    pub fn bytes(&self) -> Option<&Bytes> {
        if let Source::Buffered(bytes) = &self.source { Some(bytes) } else { None }
    }

    /// Whether it can still be sent.
    pub fn is_available(&self) -> bool {
        !matches!(self.source, Source::Spent)
    }

    /// Whether it is not in memory: it is streamed to one upstream, or was.
    pub fn is_stream(&self) -> bool {
        !matches!(self.source, Source::Buffered(_))
    }

    /// Length in bytes, if it is known. That of a stream is what the caller declared.
    pub fn len(&self) -> Option<u64> {
        match &self.source {
            Source::Buffered(bytes) => Some(bytes.len() as u64),
            Source::Stream(reader) => reader.declared(),
            Source::Spent => None,
        }
    }

    /// Whether the length is known to be zero.
    pub fn is_empty(&self) -> bool {
        self.len() == Some(0)
    }

    /// How the caller marks the end of the body, for the log; `None` without a body.
    pub fn framing(&self) -> Option<&'static str> {
        self.framing
    }

    /// How far the body was received and sent.
    pub fn progress(&self) -> &Progress {
        &self.progress
    }
}
