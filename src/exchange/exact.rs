//! A body that ends at its exact byte, or with an error.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::future::timeout;
use bytes::Bytes;
use bytes::BytesMut;

use super::BodyError;
use super::Tap;

/// Longest line of a chunked body's frame, in bytes: sizes have 16 digits at most, and
/// extensions and trailers are passed over.
const LINE_MAX: usize = 4 * 1024;
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// How a body's end is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// In chunks, the last one empty.
    Chunked,
    /// By the end of the connection.
    Close,
    /// After so many bytes.
    Length(u64),
}

/// Where in its frame the reader stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Chunk(u64),
    ChunkEnd,
    ChunkSize,
    Close,
    Done,
    Length(u64),
    Trailer,
}

/// Reads one body off a connection, and nothing behind it.
#[derive(Debug)]
pub struct Exact {
    ahead: Option<Bytes>,
    broken: Arc<AtomicBool>,
    complete: Arc<AtomicBool>,
    declared: Option<u64>,
    greets: bool,
    idle: Duration,
    left: u64,
    limit: u64,
    state: State,
    tap: Tap,
}

impl Exact {
    /// Reads a body framed as told, of at most `limit` bytes, with at most `idle` between
    /// two of them.
    pub fn new(tap: Tap, framing: Framing, limit: u64, idle: Duration) -> Self {
        let state = match framing {
            Framing::Chunked => State::ChunkSize,
            Framing::Close => State::Close,
            Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Length(length),
        };
        let declared = if let Framing::Length(length) = framing { Some(length) } else { None };
        Self {
            ahead: None,
            broken: Arc::default(),
            complete: Arc::new(AtomicBool::new(state == State::Done)),
            declared,
            greets: false,
            idle,
            left: limit,
            limit,
            state,
            tap,
        }
    }

    /// Tells the peer to go on before the first byte is read.
    pub(super) fn greet(&mut self) {
        self.greets = true;
    }

    /// Sets the most bytes it may have, and the longest pause between two of them.
    pub fn set_limits(&mut self, limit: u64, idle: Duration) {
        self.left = limit;
        self.limit = limit;
        self.idle = idle;
    }

    /// Gives bytes back that were read off it already.
    pub(super) fn unread(&mut self, bytes: Bytes) {
        self.ahead = Some(bytes);
    }

    /// Bytes, where they were declared.
    pub fn declared(&self) -> Option<u64> {
        self.declared
    }

    /// Set once the body has broken off.
    pub fn broken(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.broken)
    }

    /// Set once the body was read to its exact end.
    pub fn complete(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.complete)
    }

    /// The next bytes; `None` at the exact end.
    ///
    /// # Errors
    ///
    /// Where the body breaks off, stalls, is malformed or is over its limit.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        if let Some(bytes) = self.ahead.take() {
            return Ok(Some(bytes));
        }
        if std::mem::take(&mut self.greets) {
            self.tap.write(CONTINUE).await?;
        }
        let next = self.step().await;
        if next.is_err() {
            self.broken.store(true, Ordering::Release);
        }
        next
    }

    /// All that is left.
    ///
    /// # Errors
    ///
    /// As [`Self::next`].
    pub async fn read_all(&mut self) -> Result<Bytes, BodyError> {
        let mut first = match self.next().await? {
            Some(bytes) => bytes,
            None => return Ok(Bytes::new()),
        };
        let mut all = BytesMut::new();
        while let Some(bytes) = self.next().await? {
            if all.is_empty() {
                all.extend_from_slice(&std::mem::take(&mut first));
            }
            all.extend_from_slice(&bytes);
        }
        Ok(if all.is_empty() { first } else { all.freeze() })
    }

    async fn step(&mut self) -> Result<Option<Bytes>, BodyError> {
        loop {
            match self.state {
                State::Chunk(left) => {
                    let bytes = self.piece(left).await?.ok_or(BodyError::Cut(left))?;
                    let left = left - bytes.len() as u64;
                    self.state = if left == 0 { State::ChunkEnd } else { State::Chunk(left) };
                    return Ok(Some(bytes));
                }
                State::ChunkEnd => {
                    let line = self.line().await?;
                    if !line.is_empty() {
                        return Err(malformed(&line));
                    }
                    self.state = State::ChunkSize;
                }
                State::ChunkSize => {
                    let size = size_of(&self.line().await?)?;
                    self.state = if size == 0 { State::Trailer } else { State::Chunk(size) };
                }
                State::Close => match self.piece(u64::MAX).await? {
                    Some(bytes) => return Ok(Some(bytes)),
                    None => self.end(),
                },
                State::Done => return Ok(None),
                State::Length(left) => {
                    let bytes = self.piece(left).await?.ok_or(BodyError::Cut(left))?;
                    let left = left - bytes.len() as u64;
                    self.state = State::Length(left);
                    if left == 0 {
                        self.end();
                    }
                    return Ok(Some(bytes));
                }
                State::Trailer => {
                    if self.line().await?.is_empty() {
                        self.end();
                    }
                }
            }
        }
    }

    fn end(&mut self) {
        self.state = State::Done;
        self.complete.store(true, Ordering::Release);
    }

    /// At most `most` bytes; `None` where the peer closed first.
    async fn piece(&mut self, most: u64) -> Result<Option<Bytes>, BodyError> {
        if !self.tap.has_early() && !self.fill().await? {
            return Ok(None);
        }
        let bytes = self.tap.take(most);
        let count = bytes.len() as u64;
        self.left = self.left.checked_sub(count).ok_or(BodyError::Limit(self.limit))?;
        Ok(Some(bytes))
    }

    async fn line(&mut self) -> Result<Bytes, BodyError> {
        loop {
            if let Some(line) = self.tap.take_line() {
                return Ok(line);
            }
            if self.tap.early() > LINE_MAX {
                return Err(BodyError::Malformed("too long a line".to_owned()));
            }
            if !self.fill().await? {
                return Err(BodyError::Cut(0));
            }
        }
    }

    async fn fill(&self) -> Result<bool, BodyError> {
        let filled = timeout(self.idle, self.tap.fill()).await;
        Ok(filled.map_err(|_| BodyError::Stalled(self.idle))?? > 0)
    }
}

fn size_of(line: &[u8]) -> Result<u64, BodyError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits).map_err(|_| malformed(line))?.trim_end();
    let hex = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !hex {
        return Err(malformed(line));
    }
    u64::from_str_radix(text, 16).map_err(|_| malformed(line))
}

fn malformed(line: &[u8]) -> BodyError {
    BodyError::Malformed(String::from_utf8_lossy(&line[..line.len().min(40)]).into_owned())
}
