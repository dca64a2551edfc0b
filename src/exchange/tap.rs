use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;

use async_std::io::Read;
use async_std::io::Write;
use async_std::net::TcpStream;

use super::Error;

/// Longest message head, in bytes: the HTTP library's own bound.
pub(super) const HEAD_MAX: usize = 8 * 1024;

const CHUNK: usize = 16 * 1024;

/// A connection that never reads past the end of the message being read.
///
/// The HTTP library buffers what it reads and drops the buffer with the message. Bytes
/// of the next message that were read early would vanish, and the next caller on the
/// connection would get half an answer. A tap keeps such bytes and hands them to the
/// next message only.
#[derive(Clone, Debug)]
pub struct Tap {
    stream: TcpStream,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    early: VecDeque<u8>,
    ended: bool,
    fault: Option<Error>,
    head: usize,
    matched: usize,
    phase: Phase,
    read: u64,
    written: u64,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Phase {
    #[default]
    Head,
    Body {
        left: u64,
    },
    Chunks,
}

impl Tap {
    /// Wraps a connection at a message's start.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, state: Arc::default() }
    }

    /// Starts the next message: its head is to be read.
    pub fn next_message(&self) {
        let mut state = self.lock();
        state.phase = Phase::Head;
        state.head = 0;
        state.matched = 0;
    }

    /// Says that the body has `left` bytes; no more than these are read.
    pub fn expect_body(&self, left: u64) {
        self.lock().phase = Phase::Body { left };
    }

    /// Says that the body is chunked; its end is the decoder's to find.
    pub fn expect_chunks(&self) {
        self.lock().phase = Phase::Chunks;
    }

    /// Bytes written to the connection since it was opened.
    pub fn written(&self) -> u64 {
        self.lock().written
    }

    /// Bytes of the present message's head that were read.
    pub fn head_len(&self) -> usize {
        self.lock().head
    }

    /// Why reading was refused, where it was this tap that refused it.
    pub fn fault(&self) -> Option<Error> {
        self.lock().fault.clone()
    }

    /// Whether the other end has closed and nothing of it is left to read.
    pub fn is_ended(&self) -> bool {
        self.lock().ended
    }

    /// Whether bytes of a further message are waiting here.
    pub fn has_early(&self) -> bool {
        !self.lock().early.is_empty()
    }

    /// Whether an idle connection is open and silent, as one must be before it is used
    /// again: bytes that nobody asked for belong to an earlier request's answer.
    pub async fn is_quiet(&self) -> bool {
        if self.has_early() || self.is_ended() {
            return false;
        }
        let mut byte = [0];
        let peek = self.stream.peek(&mut byte);
        futures::pin_mut!(peek);
        futures::poll!(peek).is_pending()
    }

    /// Waits until the other end closes; never ends while it does not.
    pub async fn gone(&self) {
        let mut byte = [0];
        match self.stream.peek(&mut byte).await {
            Ok(0) | Err(_) => (),
            Ok(_) => futures::future::pending().await,
        }
    }

    /// Closes both directions.
    pub fn close(&self) {
        self.stream.shutdown(std::net::Shutdown::Both).ok();
    }

    /// Tells the other end that nothing more is coming, and goes on reading.
    pub fn finish(&self) {
        self.stream.shutdown(std::net::Shutdown::Write).ok();
    }

    /// The connection itself, for reading what is thrown away.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn room(&self, wanted: usize) -> usize {
        match self.phase {
            Phase::Body { left } => wanted.min(usize::try_from(left).unwrap_or(usize::MAX)),
            Phase::Chunks => wanted,
            Phase::Head => wanted.min(CHUNK),
        }
    }

    /// Takes from `bytes` what belongs to the message and keeps the rest.
    fn take(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let taken = match &mut self.phase {
            Phase::Body { left } => {
                *left -= bytes.len() as u64;
                bytes.len()
            }
            Phase::Chunks => bytes.len(),
            Phase::Head => self.take_head(bytes)?,
        };
        self.read += taken as u64;
        self.early.extend(&bytes[taken..]);
        Ok(taken)
    }

    fn take_head(&mut self, bytes: &[u8]) -> io::Result<usize> {
        const END: &[u8] = b"\r\n\r\n";
        for (at, byte) in bytes.iter().enumerate() {
            self.head += 1;
            if !byte.is_ascii() || *byte == 0 {
                return Err(self.refuse(Error::HeadByte(*byte)));
            }
            if self.head >= HEAD_MAX {
                return Err(self.refuse(Error::HeadSize(HEAD_MAX)));
            }
            self.matched = match *byte {
                byte if byte == END[self.matched] => self.matched + 1,
                b'\r' => 1,
                _ => 0,
            };
            if self.matched == END.len() {
                self.phase = Phase::Body { left: 0 };
                return Ok(at + 1);
            }
        }
        Ok(bytes.len())
    }

    fn refuse(&mut self, error: Error) -> io::Error {
        self.fault = Some(error.clone());
        io::Error::new(io::ErrorKind::InvalidData, error)
    }
}

impl Read for Tap {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let tap = self.get_mut();
        let mut state = tap.state.lock().unwrap_or_else(PoisonError::into_inner);
        let room = state.room(buffer.len());
        if room == 0 {
            return Poll::Ready(Ok(0));
        }
        let count = if state.early.is_empty() {
            match Pin::new(&mut tap.stream).poll_read(context, &mut buffer[..room]) {
                Poll::Ready(Ok(0)) => {
                    state.ended = true;
                    return Poll::Ready(Ok(0));
                }
                Poll::Ready(Ok(count)) => count,
                other => return other,
            }
        } else {
            let count = room.min(state.early.len());
            for (slot, byte) in buffer.iter_mut().zip(state.early.drain(..count)) {
                *slot = byte;
            }
            count
        };
        Poll::Ready(state.take(&buffer[..count]))
    }
}

impl Write for Tap {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let tap = self.get_mut();
        let polled = Pin::new(&mut tap.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(count)) = &polled {
            tap.lock().written += *count as u64;
        }
        polled
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_close(context)
    }
}
