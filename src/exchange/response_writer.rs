//! Writes the response to one request.

use std::io;

use http::Method;
use http::header;

use super::Body;
use super::Progress;
use super::Response;
use super::Socket;
use super::transmission::Transmission;

/// Writes the response to one request to the caller's connection.
pub struct ResponseWriter {
    close: bool,
    method: Method,
    /// How far the request's body has been read.
    progress: Progress,
    socket: Socket,
}

impl ResponseWriter {
    pub(super) fn new(socket: Socket, method: Method, progress: Progress, close: bool) -> Self {
        Self { close, method, progress, socket }
    }

    /// Whether the connection is closed after this response.
    pub fn is_closing(&self) -> bool {
        self.close
    }

    /// Closes the connection after this response.
    pub fn close_after(&mut self) {
        self.close = true;
    }

    /// Sends the response. If reading its body fails, the connection is closed before the
    /// announced end, so that the caller notices that the response is incomplete. The connection is
    /// also closed if a part of the request's body was not read.
    ///
    /// # Errors
    ///
    /// If writing to the caller or reading the body fails.
    pub async fn send(&mut self, response: Response) -> io::Result<()> {
        self.close |= !self.progress.is_complete();
        self.send_early(response).await
    }

    /// As [`Self::send`], while the rest of the request's body is being read.
    ///
    /// # Errors
    ///
    /// As [`Self::send`].
    pub(super) async fn send_early(&mut self, mut response: Response) -> io::Result<()> {
        if self.close {
            response.set_header(header::CONNECTION, "close");
        }
        let sent = self.write(response).await;
        if sent.is_err() {
            self.abort();
        }
        sent
    }

    /// Closes the connection within a response, so that the caller notices that it is incomplete.
    pub fn abort(&mut self) {
        self.close = true;
        self.socket.close();
    }

    /// Waits until the caller has closed its connection.
    pub async fn caller_gone(&self) {
        self.socket.closed().await;
    }

    /// Whether the caller has closed its connection.
    pub async fn is_caller_gone(&self) -> bool {
        let closed = self.socket.closed();
        futures::pin_mut!(closed);
        futures::poll!(closed).is_ready()
    }

    async fn write(&self, response: Response) -> io::Result<()> {
        let wants_body = self.method != Method::HEAD;
        let head = response.encode(wants_body);
        let body = if wants_body { response.body } else { Body::empty() };
        let sent = Transmission::new(self.socket.clone(), head, body).run().await;
        sent.map_err(io::Error::other)
    }
}
