//! A TCP socket with a read buffer that heads and bodies are taken from.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use async_std::io::Read;
use async_std::io::WriteExt;
use async_std::net::TcpStream;
use bytes::Bytes;
use bytes::BytesMut;
use socket2::SockRef;

use super::Error;

/// Most bytes read at once; as large as `DEFAULT_MAX_HEAD_BYTES`, so that such a head fits in one
/// read.
const MAX_READ_BYTES: usize = 16 * 1024;
/// Reads that find bytes at once, after which other tasks of the thread get a turn. A peer that always
/// has bytes ready would hold the thread otherwise, and no timeout would fire.
const MAX_READY_READS: u32 = 2;
/// End of the last line of a head, and the empty line after it.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A TCP socket with a read buffer. Bytes that follow a message stay in the buffer for the next
/// one; if they were lost, the next message would be incomplete. Clones share the buffer.
#[derive(Clone, Debug)]
pub struct Socket {
    state: Arc<Mutex<State>>,
    stream: TcpStream,
}

#[derive(Debug, Default)]
struct State {
    buffer: BytesMut,
    has_read_ended: bool,
    /// Reads since one had to wait.
    ready_reads: u32,
}

impl State {
    /// Removes and returns the first `count` bytes. A buffer that becomes empty is freed.
    fn split_to(&mut self, count: usize) -> Bytes {
        if count == self.buffer.len() {
            return std::mem::take(&mut self.buffer).freeze();
        }
        self.buffer.split_to(count).freeze()
    }
}

impl Socket {
    /// Wraps an open TCP stream.
    pub fn new(stream: TcpStream) -> Self {
        Self { state: Arc::default(), stream }
    }

    /// Reads the next head including its empty line; `None` if the connection ends or fails before
    /// the first byte of the head.
    ///
    /// # Errors
    ///
    /// If it is longer than `limit` bytes, contains a zero byte or one that is not ASCII, or the
    /// connection ends or fails within it.
    pub async fn read_head(&self, limit: usize) -> Result<Option<Bytes>, Error> {
        let mut scanned = 0;
        loop {
            if let Some(head) = self.take_head(&mut scanned, limit)? {
                return Ok(Some(head));
            }
            let filled = self.fill().await;
            match filled {
                Ok(0) | Err(_) if !self.has_buffered() => return Ok(None),
                Ok(0) | Err(_) => return Err(Error::Incomplete),
                Ok(_) => (),
            }
        }
    }

    /// Takes at most `max` bytes from the buffer.
    pub(super) fn take(&self, max: u64) -> Bytes {
        let mut state = self.lock();
        let count = usize::try_from(max).unwrap_or(usize::MAX).min(state.buffer.len());
        state.split_to(count)
    }

    /// Takes the next line from the buffer, with its line feed, if all of it is there.
    pub(super) fn take_line(&self) -> Option<Bytes> {
        let mut state = self.lock();
        let end = state.buffer.iter().position(|byte| *byte == b'\n')?;
        Some(state.split_to(end + 1))
    }

    /// Number of bytes that were received but not taken yet.
    pub(super) fn buffered_len(&self) -> usize {
        self.lock().buffer.len()
    }

    /// Whether bytes were received that are not taken yet.
    pub fn has_buffered(&self) -> bool {
        self.buffered_len() > 0
    }

    /// Reads more bytes into the buffer and returns their number; 0 if the peer has closed its
    /// sending direction.
    pub(super) async fn fill(&self) -> io::Result<usize> {
        futures::future::poll_fn(|context| self.poll_fill(context)).await
    }

    /// Writes all of `bytes`.
    pub(super) async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        (&self.stream).write_all(bytes).await
    }

    /// Writes the first bytes and returns their number, at least 1.
    pub(super) async fn write_some(&self, bytes: &[u8]) -> io::Result<usize> {
        match (&self.stream).write(bytes).await? {
            0 => Err(io::ErrorKind::WriteZero.into()),
            count => Ok(count),
        }
    }

    /// Whether the connection is open and no unread bytes have arrived on it.
    pub async fn is_idle(&self) -> bool {
        if self.has_buffered() || self.lock().has_read_ended {
            return false;
        }
        let mut byte = [0];
        let peek = self.stream.peek(&mut byte);
        futures::pin_mut!(peek);
        futures::poll!(peek).is_pending()
    }

    /// Waits until the peer has closed the connection or it fails; never returns if bytes are
    /// buffered or arrive first.
    pub async fn closed(&self) {
        if self.has_buffered() {
            return futures::future::pending().await;
        }
        let mut byte = [0];
        match self.stream.peek(&mut byte).await {
            Ok(0) | Err(_) => (),
            Ok(_) => futures::future::pending().await,
        }
    }

    /// Waits until there are bytes to read, or the peer has closed the connection or it fails.
    pub async fn readable(&self) {
        if !self.has_buffered() {
            let mut byte = [0];
            self.stream.peek(&mut byte).await.ok();
        }
    }

    /// Closes both directions.
    pub fn close(&self) {
        self.stream.shutdown(std::net::Shutdown::Both).ok();
    }

    /// Has the connection reset once it is dropped, so that the peer can't take what it got for
    /// complete.
    pub(super) fn reset(&self) {
        if let Err(error) = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)) {
            tracing::debug!(target: "hemlockfield::exchange", "can't reset: {error}");
            self.close();
        }
    }

    /// Closes the sending direction.
    pub fn finish(&self) {
        self.stream.shutdown(std::net::Shutdown::Write).ok();
    }

    /// The TCP stream; reading from it bypasses the buffer.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Takes the next head from the buffer if all of it is there. The first `scanned` bytes were
    /// checked by earlier calls.
    fn take_head(&self, scanned: &mut usize, limit: usize) -> Result<Option<Bytes>, Error> {
        let mut state = self.lock();
        let from = scanned.saturating_sub(HEAD_END.len() - 1);
        let end =
            state.buffer[from..].windows(HEAD_END.len()).position(|window| window == HEAD_END);
        let length = end.map_or(state.buffer.len(), |end| from + end + HEAD_END.len());
        let is_invalid = |byte: &&u8| !byte.is_ascii() || **byte == 0;
        if let Some(byte) = state.buffer[*scanned..length].iter().find(is_invalid) {
            return Err(Error::HeadByte(*byte));
        }
        if length > limit {
            return Err(Error::HeadSize(limit));
        }
        *scanned = length;
        Ok(end.map(|_| state.split_to(length)))
    }

    fn poll_fill(&self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        if self.lock().ready_reads >= MAX_READY_READS {
            self.lock().ready_reads = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        // Reads into the stack first: reserving buffer space for each of thousands of idle
        // connections would waste memory.
        let mut chunk = [0; MAX_READ_BYTES];
        let mut stream = &self.stream;
        let polled = Pin::new(&mut stream).poll_read(context, &mut chunk);
        let mut state = self.lock();
        if let Poll::Ready(Ok(count)) = &polled {
            state.buffer.extend_from_slice(&chunk[..*count]);
        }
        state.ready_reads = if polled.is_ready() { state.ready_reads + 1 } else { 0 };
        state.has_read_ended |= matches!(polled, Poll::Ready(Ok(0) | Err(_)));
        polled
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
