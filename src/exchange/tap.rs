//! One connection, read through a buffer that heads and bodies take from.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;

use async_std::io::Read;
use async_std::io::WriteExt;
use async_std::net::TcpStream;
use bytes::Bytes;
use bytes::BytesMut;

use super::Error;

/// Bytes asked of the socket at once: a head of the longest kind.
const CHUNK: usize = 16 * 1024;
const END: &[u8] = b"\r\n\r\n";

/// A connection. Bytes that came early stay in its buffer for the next message: lost, they
/// would leave the next caller with half an answer.
#[derive(Clone, Debug)]
pub struct Tap {
    state: Arc<Mutex<State>>,
    stream: TcpStream,
}

#[derive(Debug, Default)]
struct State {
    buffer: BytesMut,
    ended: bool,
}

impl State {
    /// The first bytes; an empty buffer keeps no room.
    fn split(&mut self, count: usize) -> Bytes {
        if count == self.buffer.len() {
            return std::mem::take(&mut self.buffer).freeze();
        }
        self.buffer.split_to(count).freeze()
    }
}

impl Tap {
    /// Wraps an open connection.
    pub fn new(stream: TcpStream) -> Self {
        Self { state: Arc::default(), stream }
    }

    /// The next head, with its empty line; `None` where the peer closed before a byte of it.
    ///
    /// # Errors
    ///
    /// Where it is longer than `limit` bytes, holds a byte that heads can't, or breaks off.
    pub async fn head(&self, limit: usize) -> Result<Option<Bytes>, Error> {
        let mut seen = 0;
        loop {
            if let Some(head) = self.buffered_head(&mut seen, limit)? {
                return Ok(Some(head));
            }
            let filled = self.fill().await;
            match filled {
                Ok(0) | Err(_) if !self.has_early() => return Ok(None),
                Ok(0) => return Err(Error::Malformed("it breaks off".to_owned())),
                Ok(_) => (),
                Err(error) => return Err(Error::Malformed(error.to_string())),
            }
        }
    }

    /// At most `most` bytes that are there already.
    pub(super) fn take(&self, most: u64) -> Bytes {
        let mut state = self.lock();
        let count = usize::try_from(most).unwrap_or(usize::MAX).min(state.buffer.len());
        state.split(count)
    }

    /// The next line that is there already, without its line end.
    pub(super) fn take_line(&self) -> Option<Bytes> {
        let mut state = self.lock();
        let end = state.buffer.iter().position(|byte| *byte == b'\n')?;
        let mut line = state.buffer.split_to(end + 1);
        line.truncate(end);
        if line.last() == Some(&b'\r') {
            line.truncate(end - 1);
        }
        Some(line.freeze())
    }

    /// Bytes that came and were not taken yet.
    pub(super) fn early(&self) -> usize {
        self.lock().buffer.len()
    }

    /// Whether bytes came that no message has taken.
    pub fn has_early(&self) -> bool {
        self.early() > 0
    }

    /// Reads more into the buffer; 0 where the peer has closed.
    pub(super) async fn fill(&self) -> io::Result<usize> {
        futures::future::poll_fn(|context| self.poll_fill(context)).await
    }

    /// Writes all of `bytes`.
    pub(super) async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        (&self.stream).write_all(bytes).await
    }

    /// Whether the connection is open and nothing unasked came on it.
    pub async fn is_quiet(&self) -> bool {
        if self.has_early() || self.lock().ended {
            return false;
        }
        let mut byte = [0];
        let peek = self.stream.peek(&mut byte);
        futures::pin_mut!(peek);
        futures::poll!(peek).is_pending()
    }

    /// Ends when the peer has closed; never while it has bytes to be read.
    pub async fn gone(&self) {
        if self.has_early() {
            return futures::future::pending().await;
        }
        let mut byte = [0];
        match self.stream.peek(&mut byte).await {
            Ok(0) | Err(_) => (),
            Ok(_) => futures::future::pending().await,
        }
    }

    /// Ends when there is something to read, or the peer has closed.
    pub async fn readable(&self) {
        if !self.has_early() {
            let mut byte = [0];
            self.stream.peek(&mut byte).await.ok();
        }
    }

    /// Closes both ways.
    pub fn close(&self) {
        self.stream.shutdown(std::net::Shutdown::Both).ok();
    }

    /// Closes the way out.
    pub fn finish(&self) {
        self.stream.shutdown(std::net::Shutdown::Write).ok();
    }

    /// The connection itself.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    fn buffered_head(&self, seen: &mut usize, limit: usize) -> Result<Option<Bytes>, Error> {
        let mut state = self.lock();
        let from = seen.saturating_sub(END.len() - 1);
        let end = state.buffer[from..].windows(END.len()).position(|window| window == END);
        let length = end.map_or(state.buffer.len(), |end| from + end + END.len());
        let odd = |byte: &&u8| !byte.is_ascii() || **byte == 0;
        if let Some(byte) = state.buffer[*seen..length].iter().find(odd) {
            return Err(Error::HeadByte(*byte));
        }
        if length > limit {
            return Err(Error::HeadSize(limit));
        }
        *seen = length;
        Ok(end.map(|_| state.split(length)))
    }

    fn poll_fill(&self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        // Not read into the buffer itself: thousands of idle connections would keep room in it.
        let mut chunk = [0; CHUNK];
        let mut stream = &self.stream;
        let polled = Pin::new(&mut stream).poll_read(context, &mut chunk);
        let mut state = self.lock();
        if let Poll::Ready(Ok(count)) = &polled {
            state.buffer.extend_from_slice(&chunk[..*count]);
        }
        state.ended |= matches!(polled, Poll::Ready(Ok(0) | Err(_)));
        polled
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
