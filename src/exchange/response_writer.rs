//! Where the answer to one request goes.

use std::io;

use http::Method;
use http::header;

use super::Body;
use super::Response;
use super::Tap;

/// The way back to a caller.
pub struct ResponseWriter {
    close: bool,
    method: Method,
    tap: Tap,
}

impl ResponseWriter {
    pub(super) fn new(tap: Tap, method: Method, close: bool) -> Self {
        Self { close, method, tap }
    }

    /// Whether the connection ends with this answer.
    pub fn is_closing(&self) -> bool {
        self.close
    }

    /// Ends the connection after this answer.
    pub fn close_after(&mut self) {
        self.close = true;
    }

    /// Sends the answer. Where its body breaks off, the connection is closed short of the
    /// end that was told, which is how the caller sees that this was not all.
    ///
    /// # Errors
    ///
    /// Where the caller is gone or the body breaks off.
    pub async fn send(&mut self, mut response: Response) -> io::Result<()> {
        if self.close {
            response.set_header(header::CONNECTION, "close");
        }
        let sent = self.write(response).await;
        if sent.is_err() {
            self.close = true;
            self.tap.close();
        }
        sent
    }

    /// Ends when the caller has closed its connection.
    pub async fn caller_gone(&self) {
        self.tap.gone().await;
    }

    async fn write(&self, response: Response) -> io::Result<()> {
        let wants_body = self.method != Method::HEAD;
        let mut bytes = response.encode(wants_body);
        let chunked = response.body.len().is_none();
        match response.body {
            Body::Buffered(body) if wants_body => bytes.extend_from_slice(&body),
            Body::Stream(mut exact) if wants_body => {
                self.tap.write(&bytes).await?;
                while let Some(piece) = exact.next().await.map_err(io::Error::other)? {
                    if chunked {
                        self.tap.write(&chunk(&piece)).await?;
                    } else {
                        self.tap.write(&piece).await?;
                    }
                }
                bytes = if chunked { b"0\r\n\r\n".to_vec() } else { Vec::new() };
            }
            Body::Empty | Body::Buffered(_) | Body::Stream(_) => (),
        }
        self.tap.write(&bytes).await
    }
}

/// One piece of a chunked body with its frame.
pub(super) fn chunk(piece: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{:x}\r\n", piece.len()).into_bytes();
    bytes.extend_from_slice(piece);
    bytes.extend_from_slice(b"\r\n");
    bytes
}
