//! An upstream's answer, and the exchange that it belongs to.

use std::io;
use std::time::Duration;

use async_std::future::timeout;
use futures::join;

use super::Body;
use super::Connection;
use super::Progress;
use super::Response;
use super::ResponseWriter;
use super::Socket;
use super::transmission::Transmission;

/// An upstream's answer: its head, and a body that is buffered or still being received.
pub struct Answer {
    pub(super) exchange: Exchange,
    /// Head and body; the body may still have to be read.
    pub response: Response,
}

/// What remains of an exchange with an upstream when the head of its answer is there.
pub struct Exchange {
    pub(super) connection: Connection,
    /// Whether the upstream keeps the connection open afterwards.
    pub(super) keep_alive: bool,
    /// How far the answer's body has been read.
    pub(super) progress: Progress,
    pub(super) upload: Upload,
}

/// A request on its way to an upstream. When it is dropped the connection is closed, which cancels
/// the work. Before an answer it is reset: the system would go on sending what a silent path has not
/// delivered, and the request would arrive after it was given up. Within the request too, so that no
/// upstream takes the end of the connection for the end of the body.
pub(super) struct Upload {
    /// Whether the head of the answer has arrived.
    pub(super) is_answered: bool,
    is_released: bool,
    socket: Socket,
    pub(super) transmission: Transmission,
}

impl Upload {
    pub(super) fn new(socket: Socket, transmission: Transmission) -> Self {
        Self { is_answered: false, is_released: false, socket, transmission }
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        if self.is_released {
            return;
        }
        if self.is_answered && self.transmission.is_finished() {
            self.socket.close();
        } else {
            self.socket.reset();
        }
    }
}

impl Answer {
    /// Separates the answer from its exchange.
    pub fn split(self) -> (Response, Exchange) {
        (self.response, self.exchange)
    }
}

impl Exchange {
    /// Whether reading the answer's body from the upstream has failed.
    pub fn is_broken(&self) -> bool {
        self.progress.is_broken()
    }

    /// Whether the answer's body has been read to its end.
    pub fn is_complete(&self) -> bool {
        self.progress.is_complete()
    }

    /// Sends the answer to the caller. If it came before the request's end, and the upstream goes on
    /// reading, the rest of the request is sent meanwhile, and for at most `limit` afterwards. A body
    /// that has not arrived whole within `limit` is given up, and the caller's connection closed.
    ///
    /// # Errors
    ///
    /// If writing to the caller or reading the answer fails, or the body takes too long.
    pub async fn relay(
        &mut self,
        response: Response,
        writer: &mut ResponseWriter,
        limit: Duration,
    ) -> io::Result<()> {
        let is_whole = matches!(response.body, Body::Buffered(_));
        if is_whole {
            return self.relay_body(response, writer, limit).await;
        }
        let relayed = timeout(limit, self.relay_body(response, writer, limit)).await;
        relayed.unwrap_or_else(|_| {
            writer.abort();
            Err(io::ErrorKind::TimedOut.into())
        })
    }

    async fn relay_body(
        &mut self,
        response: Response,
        writer: &mut ResponseWriter,
        limit: Duration,
    ) -> io::Result<()> {
        let transmission = &mut self.upload.transmission;
        if !transmission.is_open() {
            return writer.send(response).await;
        }
        let (sent, _) = join!(writer.send_early(response), timeout(limit, transmission.run()));
        sent
    }

    /// Returns the connection if it can carry another request: the request was sent and the
    /// answer read completely, nothing more has arrived, and the upstream keeps the connection
    /// open. Otherwise closes it: the rest of this answer would reach the next caller, and the next
    /// request would be read as the rest of this one.
    pub fn release(mut self) -> Option<Connection> {
        let is_reusable = self.is_complete()
            && self.keep_alive
            && self.upload.transmission.is_finished()
            && !self.connection.has_buffered();
        self.upload.is_released = is_reusable;
        is_reusable.then_some(self.connection)
    }
}
