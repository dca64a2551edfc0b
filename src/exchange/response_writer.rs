//! Writes the response to one request.

use std::io;

use http::Method;
use http::header;

use super::Body;
use super::Response;
use super::Socket;

/// Writes the response to one request to the caller's connection.
pub struct ResponseWriter {
    close: bool,
    method: Method,
    socket: Socket,
}

impl ResponseWriter {
    pub(super) fn new(socket: Socket, method: Method, close: bool) -> Self {
        Self { close, method, socket }
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
    /// announced end, so that the caller notices that the response is incomplete.
    ///
    /// # Errors
    ///
    /// If writing to the caller or reading the body fails.
    pub async fn send(&mut self, mut response: Response) -> io::Result<()> {
        if self.close {
            response.set_header(header::CONNECTION, "close");
        }
        let sent = self.write(response).await;
        if sent.is_err() {
            self.close = true;
            self.socket.close();
        }
        sent
    }

    /// Waits until the caller has closed its connection.
    pub async fn caller_gone(&self) {
        self.socket.closed().await;
    }

    async fn write(&self, response: Response) -> io::Result<()> {
        let wants_body = self.method != Method::HEAD;
        let mut bytes = response.encode(wants_body);
        let chunked = response.body.len().is_none();
        match response.body {
            Body::Buffered(body) if wants_body => bytes.extend_from_slice(&body),
            Body::Stream(mut reader) if wants_body => {
                self.socket.write(&bytes).await?;
                while let Some(data) = reader.next().await.map_err(io::Error::other)? {
                    if chunked {
                        self.socket.write(&encode_chunk(&data)).await?;
                    } else {
                        self.socket.write(&data).await?;
                    }
                }
                bytes = if chunked { b"0\r\n\r\n".to_vec() } else { Vec::new() };
            }
            Body::Empty | Body::Buffered(_) | Body::Stream(_) => (),
        }
        self.socket.write(&bytes).await
    }
}

/// Encodes one chunk of a chunked body.
pub(super) fn encode_chunk(data: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{:x}\r\n", data.len()).into_bytes();
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
    bytes
}
