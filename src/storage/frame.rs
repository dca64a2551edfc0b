//! Frames: length, checksum and the records of one sync.
//!
//! Each frame says how much of the file was synced when it was written. So a whole
//! frame after a broken one can prove that the broken one was synced once: that
//! is damage. Without such a proof the broken one was under way in a crash: a torn
//! tail.

use std::io::ErrorKind;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::error::Error;
use crate::id::Index;
use crate::id::Term;
use crate::quorum::Record;

/// Start of each frame, to find the next one after a broken one. Not valid UTF-8,
/// so that no text holds it.
const MAGIC: [u8; 4] = [0xF7, b'h', b'l', 0xF8];
/// Magic, length and checksum, each of four bytes.
const HEADER: usize = 12;

/// Records of one sync.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Frame {
    /// Counts the frames of a log, from 0.
    pub(super) number: u64,
    /// Records, none of them a snapshot; none at all in a seal.
    pub(super) records: Vec<Record>,
    /// In the first frame, the snapshot that the log continues.
    pub(super) snapshot: Option<(Index, Term)>,
    /// Bytes of the file that were synced when the frame was written.
    pub(super) synced: u64,
}

/// What a scan of a log file finds.
#[derive(Debug)]
pub(super) struct Scan {
    /// Where the last whole frame ends.
    pub(super) end: u64,
    /// Whole frames, in order.
    pub(super) frames: Vec<Frame>,
}

/// Encodes one value with its header.
pub(super) fn encode<T>(file: &str, value: &T) -> Result<Vec<u8>, Error>
where
    T: Serialize,
{
    let invalid = || Error::of(file, ErrorKind::InvalidData.into());
    let payload = postcard::to_stdvec(value).map_err(|_| invalid())?;
    let length = u32::try_from(payload.len()).map_err(|_| invalid())?.to_le_bytes();
    let mut bytes = Vec::with_capacity(HEADER + payload.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&length);
    bytes.extend_from_slice(&checksum(length, &payload).to_le_bytes());
    bytes.extend_from_slice(&payload);
    Ok(bytes)
}

/// Decodes the value of the frame at the start of `bytes`.
pub(super) fn decode<T>(file: &str, offset: usize, bytes: &[u8]) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    let offset = offset as u64;
    let payload = payload(bytes);
    let payload = payload.ok_or_else(|| Error::Damaged { file: file.to_owned(), offset })?;
    postcard::from_bytes(payload).map_err(|_| Error::Unreadable { file: file.to_owned(), offset })
}

/// Reads the frames of a log file up to its end or its torn tail.
pub(super) fn scan(file: &str, bytes: &[u8]) -> Result<Scan, Error> {
    let mut frames: Vec<Frame> = Vec::new();
    let mut end = 0;
    while end < bytes.len() {
        let rest = &bytes[end..];
        let Some(payload) = payload(rest) else { break };
        let frame: Frame = decode(file, end, rest)?;
        if frame.number != frames.len() as u64 {
            return Err(Error::Damaged { file: file.to_owned(), offset: end as u64 });
        }
        frames.push(frame);
        end += HEADER + payload.len();
    }
    if was_synced(end as u64, &bytes[end..]) {
        return Err(Error::Damaged { file: file.to_owned(), offset: end as u64 });
    }
    Ok(Scan { end: end as u64, frames })
}

/// Whether a frame in `rest` proves that more than `end` bytes were synced.
fn was_synced(end: u64, rest: &[u8]) -> bool {
    let starts = rest.windows(MAGIC.len()).enumerate();
    let starts = starts.filter(|(_, window)| *window == MAGIC);
    let mut payloads = starts.filter_map(|(start, _)| payload(&rest[start..]));
    payloads.any(|payload| {
        let frame: Result<Frame, _> = postcard::from_bytes(payload);
        frame.map_or(true, |frame| frame.synced > end)
    })
}

/// Payload of the frame at the start of `bytes`, if it is whole.
fn payload(bytes: &[u8]) -> Option<&[u8]> {
    let header = bytes.get(..HEADER)?;
    let (magic, rest) = header.split_at(4);
    let (length, sum) = rest.split_at(4);
    let length: [u8; 4] = length.try_into().ok()?;
    let sum = u32::from_le_bytes(sum.try_into().ok()?);
    let end = HEADER.checked_add(usize::try_from(u32::from_le_bytes(length)).ok()?)?;
    let payload = bytes.get(HEADER..end)?;
    (magic == MAGIC && checksum(length, payload) == sum).then_some(payload)
}

fn checksum(length: [u8; 4], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length);
    hasher.update(payload);
    hasher.finalize()
}
