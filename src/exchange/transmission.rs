//! Writes one message, and can be interrupted without losing its place.

use std::io;

use bytes::Buf;
use bytes::Bytes;
use futures::FutureExt;
use futures::pin_mut;
use futures::select;
use thiserror::Error;

use super::Body;
use super::BodyError;
use super::BodyReader;
use super::Socket;

const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Writes one message to a connection. Its futures can be dropped: the next one goes on with the
/// next byte.
#[derive(Debug)]
pub(super) struct Transmission {
    body: Option<Box<BodyReader>>,
    is_chunked: bool,
    /// Bytes that are to be written before the next ones of the body.
    pending: Bytes,
    /// Bytes of the body among those pending.
    pending_body: u64,
    socket: Socket,
    state: State,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// Given up before the end.
    Broken,
    Finished,
    Open,
}

/// Why a message could not be written to its end.
#[derive(Debug, Error)]
pub(super) enum Error {
    /// Its body could not be read.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// Writing failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl Transmission {
    /// Creates the transmission of a message. `head` is encoded for a body of this length.
    pub(super) fn new(socket: Socket, mut head: Vec<u8>, body: Body) -> Self {
        let is_chunked = body.len().is_none();
        let body = match body {
            Body::Buffered(bytes) => {
                head.extend_from_slice(&bytes);
                None
            }
            Body::Stream(reader) => Some(reader),
        };
        let pending = Bytes::from(head);
        Self { body, is_chunked, pending, pending_body: 0, socket, state: State::Open }
    }

    /// Writes the rest of the message.
    pub(super) async fn run(&mut self) -> Result<(), Error> {
        let written = self.write().await;
        self.state = if written.is_ok() { State::Finished } else { State::Broken };
        written
    }

    /// Writes while `work` is done, and returns what it returns. A message that can't be written
    /// further breaks off.
    pub(super) async fn run_beside<F: Future>(&mut self, work: F) -> F::Output {
        let work = work.fuse();
        pin_mut!(work);
        if self.state == State::Open {
            let run = self.run().fuse();
            pin_mut!(run);
            select! {
                output = work => return output,
                _ = run => (),
            }
        }
        work.await
    }

    /// Writes nothing more.
    pub(super) fn break_off(&mut self) {
        if self.state == State::Open {
            self.state = State::Broken;
        }
    }

    /// Whether bytes of the message remain to be written.
    pub(super) fn is_open(&self) -> bool {
        self.state == State::Open
    }

    /// Whether the whole message was written.
    pub(super) fn is_finished(&self) -> bool {
        self.state == State::Finished
    }

    async fn write(&mut self) -> Result<(), Error> {
        loop {
            self.flush().await?;
            let Some(body) = &mut self.body else { return Ok(()) };
            match body.next().await? {
                Some(bytes) => {
                    self.pending_body = bytes.len() as u64;
                    self.pending = if self.is_chunked { encode_chunk(&bytes) } else { bytes };
                }
                None => {
                    self.body = None;
                    self.pending =
                        Bytes::from_static(if self.is_chunked { LAST_CHUNK } else { &[] });
                }
            }
        }
    }

    async fn flush(&mut self) -> io::Result<()> {
        while !self.pending.is_empty() {
            let count = self.socket.write_some(&self.pending).await?;
            self.pending.advance(count);
        }
        if let Some(body) = &self.body {
            body.progress().add_sent(std::mem::take(&mut self.pending_body));
        }
        Ok(())
    }
}

/// Encodes one chunk of a chunked body.
fn encode_chunk(data: &[u8]) -> Bytes {
    let mut bytes = format!("{:x}\r\n", data.len()).into_bytes();
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
    bytes.into()
}
