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
pub(super) const MAGIC: [u8; 4] = [0xF7, b'h', b'l', 0xF8];
/// Size of the header: magic, length and checksum of four bytes each.
pub(super) const HEADER_BYTES: usize = 12;

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

/// Encodes a value with the header of a frame.
pub(super) fn encode<T>(file: &str, value: &T) -> Result<Vec<u8>, Error>
where
    T: Serialize,
{
    let invalid = || Error::from_io(file, ErrorKind::InvalidData.into());
    let mut bytes = postcard::to_extend(value, vec![0; HEADER_BYTES]).map_err(|_| invalid())?;
    let (header, payload) = bytes.split_at_mut(HEADER_BYTES);
    let length = u32::try_from(payload.len()).map_err(|_| invalid())?.to_le_bytes();
    header[..4].copy_from_slice(&MAGIC);
    header[4..8].copy_from_slice(&length);
    header[8..].copy_from_slice(&checksum(length, payload).to_le_bytes());
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

/// Bytes of the frame at the start of `header`, header included; `None` if none starts there.
pub(super) fn size(header: &[u8]) -> Option<usize> {
    let header = header.get(..HEADER_BYTES)?;
    let length: [u8; 4] = header[4..8].try_into().ok()?;
    let size = HEADER_BYTES.checked_add(usize::try_from(u32::from_le_bytes(length)).ok()?);
    size.filter(|_| header.starts_with(&MAGIC))
}

/// Payload of the frame at the start of `bytes`, if complete and undamaged.
pub(super) fn payload(bytes: &[u8]) -> Option<&[u8]> {
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
