//! Messages that find the records in which two nodes differ.

use serde::Deserialize;
use serde::Serialize;

/// Key hashes and version hashes of one bucket.
pub(super) type Bucket = (u8, Vec<(u32, u32)>);

/// One step of a comparison of two [`crate::fleet::Digest`]s.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Repair {
    /// First step: hash of each bucket.
    Hashes(Vec<u32>),
    /// Second step: what the answering node holds in buckets that differ.
    Versions(Vec<Bucket>),
    /// Third step: key hashes of records that the first node asks for.
    Want(Vec<u32>),
}
