//! An upstream's answer and the connection that it arrived on.

use super::BodyReader;
use super::Connection;
use super::Progress;
use super::Response;

/// An upstream's answer: its head, and a body that is buffered or still being received.
pub struct Answer {
    /// Head and body; the body may still have to be read.
    pub response: Response,
    pub(super) completion: Completion,
    pub(super) connection: Connection,
    pub(super) sent: bool,
}

/// How far the body has been read, shared with its reader, and whether the upstream keeps the
/// connection open afterwards.
pub(super) struct Completion {
    progress: Progress,
    keep_alive: bool,
}

impl Completion {
    pub(super) fn new(reader: &BodyReader, keep_alive: bool) -> Self {
        Self { progress: reader.progress(), keep_alive }
    }
}

impl Answer {
    /// Whether reading the body from the upstream has failed.
    pub fn is_broken(&self) -> bool {
        self.completion.progress.is_broken()
    }

    /// Whether it arrived before the whole request was sent.
    pub fn is_early(&self) -> bool {
        !self.sent
    }

    /// Whether the body has been read to its end.
    pub fn is_complete(&self) -> bool {
        self.completion.progress.is_complete()
    }

    /// Returns the connection if it can carry another request: the request was sent and the
    /// answer read completely, nothing more has arrived, and the upstream keeps the connection
    /// open. Otherwise closes it, because the rest of this answer would reach the next caller.
    pub fn release(self) -> Option<Connection> {
        let is_reusable = self.is_complete()
            && self.completion.keep_alive
            && self.sent
            && !self.connection.has_buffered();
        if is_reusable {
            return Some(self.connection);
        }
        self.connection.close();
        None
    }
}
