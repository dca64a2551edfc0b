//! Reads a body up to its last byte, or fails.

use std::time::Duration;

use async_std::future::timeout;
use bytes::Bytes;
use bytes::BytesMut;

use super::BodyError;
use super::Progress;
use super::Socket;

/// Longest size or trailer line of a chunked body, in bytes. A size has at most 16 digits;
/// the rest is room for extensions and trailers, which are ignored.
const MAX_LINE_BYTES: usize = 4 * 1024;
/// Largest size of all trailer lines together, in bytes: that of a head.
const MAX_TRAILER_BYTES: usize = 16 * 1024;
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// By an empty last chunk.
    Chunked,
    /// By the end of the connection.
    Close,
    /// By its length in bytes.
    Length(u64),
}

/// The next part of the body to read; numbers are the bytes that remain of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Chunk(u64),
    ChunkEnd,
    ChunkSize,
    Close,
    Done,
    Length(u64),
    /// Trailer lines; the number is the bytes that they may still have.
    Trailer(usize),
}

/// Reads one body from a connection and leaves what follows it in the socket's buffer.
#[derive(Debug)]
pub struct BodyReader {
    pushed_back: Option<Bytes>,
    declared: Option<u64>,
    continue_pending: bool,
    idle: Duration,
    limit_remaining: u64,
    limit: u64,
    /// Bytes of the lines between the chunks.
    line_bytes: u64,
    progress: Progress,
    state: State,
    socket: Socket,
}

impl BodyReader {
    /// Creates a reader of a body of at most `limit` bytes, which waits at most `idle` for the
    /// next byte.
    pub fn new(socket: Socket, framing: Framing, limit: u64, idle: Duration) -> Self {
        let state = match framing {
            Framing::Chunked => State::ChunkSize,
            Framing::Close => State::Close,
            Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Length(length),
        };
        let progress =
            if state == State::Done { Progress::completed() } else { Progress::default() };
        let declared = if let Framing::Length(length) = framing { Some(length) } else { None };
        Self {
            pushed_back: None,
            declared,
            continue_pending: false,
            idle,
            limit_remaining: limit,
            limit,
            line_bytes: 0,
            progress,
            state,
            socket,
        }
    }

    /// Sends `100 Continue` to the peer before the first byte is read.
    pub(super) fn send_continue(&mut self) {
        self.continue_pending = true;
    }

    /// Sets the largest size in bytes and the longest wait for the next byte.
    pub fn set_limits(&mut self, limit: u64, idle: Duration) {
        self.limit_remaining = limit;
        self.limit = limit;
        self.idle = idle;
    }

    /// Returns bytes that were already read; the next read yields them again.
    pub(super) fn push_back(&mut self, bytes: Bytes) {
        self.pushed_back = Some(bytes);
    }

    /// Reads the rest of the body, as long as `keeps` agrees to the length of each part. `None` if
    /// it does not; the next read then yields what was read.
    ///
    /// # Errors
    ///
    /// As [`Self::next`].
    pub(super) async fn read_while(
        &mut self,
        mut keeps: impl FnMut(u64) -> bool,
    ) -> Result<Option<Bytes>, BodyError> {
        let mut first = Bytes::new();
        let mut all = BytesMut::new();
        while let Some(bytes) = self.next().await? {
            let is_kept = keeps(bytes.len() as u64);
            if first.is_empty() {
                first = bytes;
            } else {
                if all.is_empty() {
                    all.extend_from_slice(&first);
                }
                all.extend_from_slice(&bytes);
            }
            if !is_kept {
                self.push_back(if all.is_empty() { first } else { all.freeze() });
                return Ok(None);
            }
        }
        Ok(Some(if all.is_empty() { first } else { all.freeze() }))
    }

    /// Declared length in bytes, if there is one.
    pub fn declared(&self) -> Option<u64> {
        self.declared
    }

    /// Bytes read so far, with those between the chunks.
    pub(super) fn framed_bytes(&self) -> u64 {
        self.progress.received() + self.line_bytes
    }

    /// How far the body has been read.
    pub fn progress(&self) -> Progress {
        self.progress.clone()
    }

    /// Reads the next bytes; `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// If the body is cut, stalls, is malformed or exceeds its limit.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        if let Some(bytes) = self.pushed_back.take() {
            return Ok(Some(bytes));
        }
        if std::mem::take(&mut self.continue_pending) {
            self.socket.write(CONTINUE_RESPONSE).await?;
        }
        let next = self.read_next().await;
        if next.is_err() {
            self.progress.break_off();
        }
        next
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    ///
    /// As [`Self::next`].
    pub async fn read_all(&mut self) -> Result<Bytes, BodyError> {
        Ok(self.read_while(|_| true).await?.unwrap_or_default())
    }

    async fn read_next(&mut self) -> Result<Option<Bytes>, BodyError> {
        loop {
            match self.state {
                State::Chunk(remaining) => {
                    let bytes =
                        self.read_up_to(remaining).await?.ok_or(BodyError::Cut(remaining))?;
                    let remaining = remaining - bytes.len() as u64;
                    self.state =
                        if remaining == 0 { State::ChunkEnd } else { State::Chunk(remaining) };
                    return Ok(Some(bytes));
                }
                State::ChunkEnd => {
                    let line = self.read_line().await?;
                    if !line.is_empty() {
                        return Err(malformed(&line));
                    }
                    self.state = State::ChunkSize;
                }
                State::ChunkSize => {
                    let size = parse_chunk_size(&self.read_line().await?)?;
                    self.state = match size {
                        0 => State::Trailer(MAX_TRAILER_BYTES),
                        size => State::Chunk(size),
                    };
                }
                State::Close => match self.read_up_to(u64::MAX).await? {
                    Some(bytes) => return Ok(Some(bytes)),
                    None => self.finish(),
                },
                State::Done => return Ok(None),
                State::Length(remaining) => {
                    let bytes =
                        self.read_up_to(remaining).await?.ok_or(BodyError::Cut(remaining))?;
                    let remaining = remaining - bytes.len() as u64;
                    self.state = State::Length(remaining);
                    if remaining == 0 {
                        self.finish();
                    }
                    return Ok(Some(bytes));
                }
                State::Trailer(left) => {
                    let line = self.read_line().await?;
                    let left = left.checked_sub(line.len()).ok_or_else(|| malformed(&line))?;
                    self.state = State::Trailer(left);
                    if line.is_empty() {
                        self.finish();
                    }
                }
            }
        }
    }

    fn finish(&mut self) {
        self.state = State::Done;
        self.progress.complete();
    }

    /// Reads at most `max` bytes; `None` if the peer has closed the connection.
    async fn read_up_to(&mut self, max: u64) -> Result<Option<Bytes>, BodyError> {
        if !self.socket.has_buffered() && !self.fill().await? {
            return Ok(None);
        }
        let bytes = self.socket.take(max);
        let count = bytes.len() as u64;
        self.limit_remaining =
            self.limit_remaining.checked_sub(count).ok_or(BodyError::Limit(self.limit))?;
        self.progress.add_received(count);
        Ok(Some(bytes))
    }

    /// Reads a line, which has to end in CRLF: readers that differ on where a line ends differ on
    /// where the body ends.
    async fn read_line(&mut self) -> Result<Bytes, BodyError> {
        loop {
            if let Some(line) = self.socket.take_line() {
                self.line_bytes += line.len() as u64;
                let text = line.strip_suffix(b"\r\n").ok_or_else(|| malformed(&line))?;
                return Ok(line.slice_ref(text));
            }
            if self.socket.buffered_len() > MAX_LINE_BYTES {
                return Err(BodyError::Malformed("too long a line".to_owned()));
            }
            if !self.fill().await? {
                return Err(BodyError::Cut(0));
            }
        }
    }

    async fn fill(&self) -> Result<bool, BodyError> {
        let count = timeout(self.idle, self.socket.fill()).await;
        Ok(count.map_err(|_| BodyError::Stalled(self.idle))?? > 0)
    }
}

fn parse_chunk_size(line: &[u8]) -> Result<u64, BodyError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits).map_err(|_| malformed(line))?.trim_end();
    let is_hex = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_hex {
        return Err(malformed(line));
    }
    u64::from_str_radix(text, 16).map_err(|_| malformed(line))
}

fn malformed(line: &[u8]) -> BodyError {
    BodyError::Malformed(String::from_utf8_lossy(&line[..line.len().min(40)]).into_owned())
}
