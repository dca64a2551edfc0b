//! Frames of a log file: length, checksum and the records of one sync.
//!
//! Each frame states how much of the file was synced when it was written. A complete
//! frame after a broken one can thus prove that the broken one had been synced, which
//! means damage. Without such proof, a crash interrupted the write of the broken frame,
//! which is a torn tail.

use std::io::ErrorKind;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::error::Error;
use crate::id::Index;
use crate::id::Term;
use crate::quorum::Record;

/// Start of each frame, by which the next frame after a broken one is found. Not valid
/// UTF-8, so that no text contains it.
const MAGIC: [u8; 4] = [0xF7, b'h', b'l', 0xF8];
/// Size of the header: magic, length and checksum of four bytes each.
const HEADER_BYTES: usize = 12;

/// Records of one sync.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Frame {
    /// Position of the frame in the file, from 0.
    pub(super) number: u64,
    /// Records, none of them a snapshot; empty in a sync marker.
    pub(super) records: Vec<Record>,
    /// In the first frame, the snapshot that the log file follows.
    pub(super) snapshot: Option<(Index, Term)>,
    /// Bytes of the file that were synced when the frame was written.
    pub(super) synced: u64,
}

/// Result of a scan of a log file.
#[derive(Debug)]
pub(super) struct Scan {
    /// Offset of the end of the last complete frame.
    pub(super) end: u64,
    /// Complete frames, in order.
    pub(super) frames: Vec<Frame>,
}

/// Encodes a value with the header of a frame.
pub(super) fn encode<T>(file: &str, value: &T) -> Result<Vec<u8>, Error>
where
    T: Serialize,
{
    let invalid = || Error::from_io(file, ErrorKind::InvalidData.into());
    let payload = postcard::to_stdvec(value).map_err(|_| invalid())?;
    let length = u32::try_from(payload.len()).map_err(|_| invalid())?.to_le_bytes();
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
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

/// Reads the frames of a log file up to its end or torn tail.
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
        end += HEADER_BYTES + payload.len();
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

/// Payload of the frame at the start of `bytes`, if complete and undamaged.
fn payload(bytes: &[u8]) -> Option<&[u8]> {
    let header = bytes.get(..HEADER_BYTES)?;
    let (magic, rest) = header.split_at(4);
    let (length, expected) = rest.split_at(4);
    let length: [u8; 4] = length.try_into().ok()?;
    let expected = u32::from_le_bytes(expected.try_into().ok()?);
    let end = HEADER_BYTES.checked_add(usize::try_from(u32::from_le_bytes(length)).ok()?)?;
    let payload = bytes.get(HEADER_BYTES..end)?;
    (magic == MAGIC && checksum(length, payload) == expected).then_some(payload)
}

fn checksum(length: [u8; 4], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length);
    hasher.update(payload);
    hasher.finalize()
}
