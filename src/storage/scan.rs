//! Reads a log file frame by frame: a file may be nearly as large as the memory.

use super::disk::Disk;
use super::error::Error;
use super::frame;
use super::frame::Frame;

/// Bytes read at once, beside larger frames.
const CHUNK_BYTES: usize = 256 << 10;

/// Reads the frames of a log file in order.
#[derive(Debug)]
pub(super) struct Scan<'a> {
    /// Part of the file that was read last, and its offset.
    chunk: (u64, Vec<u8>),
    /// Complete frames so far.
    count: u64,
    /// Offset of the end of the last complete frame.
    end: u64,
    file: &'a str,
    length: u64,
}

impl<'a> Scan<'a> {
    pub(super) fn new(disk: &dyn Disk, file: &'a str) -> Result<Self, Error> {
        let length = disk.length(file).map_err(|source| Error::from_io(file, source))?;
        Ok(Self { chunk: (0, Vec::new()), end: 0, file, length, count: 0 })
    }

    /// Complete frames so far.
    pub(super) fn count(&self) -> u64 {
        self.count
    }

    /// Offset of the end of the last complete frame.
    pub(super) fn end(&self) -> u64 {
        self.end
    }

    /// Whether the file ends in a frame whose write was interrupted.
    pub(super) fn is_torn(&self) -> bool {
        self.end < self.length
    }

    /// Reads the next frame; `None` at the end of the file or at a torn tail.
    ///
    /// # Errors
    ///
    /// [`Error::Damaged`] or [`Error::Unreadable`] for the contents; otherwise an error of the file
    /// system.
    pub(super) fn next_frame(&mut self, disk: &dyn Disk) -> Result<Option<Frame>, Error> {
        let at = self.end;
        let Some(size) = self.frame_size(disk, at)? else {
            return self.check_tail(disk).map(|()| None);
        };
        let frame: Frame = frame::decode(
            self.file,
            usize::try_from(at).unwrap_or(usize::MAX),
            self.bytes(disk, at, size)?,
        )?;
        if frame.number != self.count {
            return Err(self.damaged());
        }
        self.count += 1;
        self.end += size as u64;
        Ok(Some(frame))
    }

    /// Bytes of the frame at an offset, if it is complete and undamaged.
    fn frame_size(&mut self, disk: &dyn Disk, at: u64) -> Result<Option<usize>, Error> {
        let Some(size) = frame::size(self.bytes(disk, at, frame::HEADER_BYTES)?) else {
            return Ok(None);
        };
        if size as u64 > self.length - at {
            return Ok(None);
        }
        Ok(frame::payload(self.bytes(disk, at, size)?).map(|_| size))
    }

    /// Fails if a frame after the last complete one proves that more of the file had been synced.
    fn check_tail(&mut self, disk: &dyn Disk) -> Result<(), Error> {
        let mut at = self.end;
        while let Some(start) = self.next_magic(disk, at)? {
            if let Some(size) = self.frame_size(disk, start)? {
                let end = self.end;
                let payload = frame::payload(self.bytes(disk, start, size)?).unwrap_or_default();
                let frame: Result<Frame, _> = postcard::from_bytes(payload);
                if frame.map_or(true, |frame| frame.synced > end) {
                    return Err(self.damaged());
                }
            }
            at = start + 1;
        }
        Ok(())
    }

    /// Offset of the next start of a frame, complete or not, at `at` or after it.
    fn next_magic(&mut self, disk: &dyn Disk, mut at: u64) -> Result<Option<u64>, Error> {
        let magic = frame::MAGIC;
        while at + magic.len() as u64 <= self.length {
            let bytes = self.bytes(disk, at, CHUNK_BYTES)?;
            let found = bytes.windows(magic.len()).position(|window| window == magic);
            let read = bytes.len() as u64;
            if let Some(found) = found {
                return Ok(Some(at + found as u64));
            }
            at += read - (magic.len() as u64 - 1);
        }
        Ok(None)
    }

    /// Up to `count` bytes from `at` on; fewer at the end of the file.
    fn bytes(&mut self, disk: &dyn Disk, at: u64, count: usize) -> Result<&[u8], Error> {
        let left = usize::try_from(self.length.saturating_sub(at)).unwrap_or(usize::MAX);
        let count = count.min(left);
        let (start, chunk) = &self.chunk;
        let is_read = at >= *start && at + count as u64 <= *start + chunk.len() as u64;
        if !is_read {
            self.chunk = (at, Vec::new());
            let read = disk.read_at(self.file, at, count.max(CHUNK_BYTES));
            self.chunk.1 = read.map_err(|source| Error::from_io(self.file, source))?;
        }
        let (start, chunk) = &self.chunk;
        let first = usize::try_from(at - start).unwrap_or(usize::MAX);
        Ok(chunk.get(first..first + count).unwrap_or_default())
    }

    fn damaged(&self) -> Error {
        Error::Damaged { file: self.file.to_owned(), offset: self.end }
    }
}
