//! What became of a request's body, for the log.

use super::Body;
use super::Progress;
use super::Request;

/// What became of a request's body, for the log.
#[derive(Debug)]
pub struct Transfer {
    /// Length that the last upstream was told; `None` before that, and for a body in chunks.
    pub announced: Option<u64>,
    framing: Option<&'static str>,
    progress: Progress,
}

impl Transfer {
    /// Describes the body of a request that was just received.
    pub fn of(request: &Request) -> Self {
        let (framing, progress) = match &request.body {
            Body::Empty => (None, Progress::completed()),
            Body::Buffered(_) => (Some("length"), Progress::completed()),
            Body::Stream(reader) if reader.declared().is_none() => {
                (Some("chunked"), reader.progress())
            }
            Body::Stream(reader) => (Some("length"), reader.progress()),
        };
        Self { announced: None, framing, progress }
    }

    /// How the caller marks the end of the body, if there is one.
    pub fn framing(&self) -> Option<&'static str> {
        self.framing
    }

    /// Bytes of the body that were received, if there is one.
    pub fn received(&self) -> Option<u64> {
        self.framing.map(|_| self.progress.received())
    }
}
