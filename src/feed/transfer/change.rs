//! Encoded changes of the configuration.

use std::io::Read;
use std::io::Write;

use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use super::Error;
use super::Offer;
use super::Part;
use crate::config::Head;
use crate::config::Patch;
use crate::config::Version;

/// Bytes that come with an update. A changed weight or a dozen new routes fit in, so that most
/// changes need no request.
const START_BYTES: usize = 4 << 10;
/// Bytes of a part, for which an urgent update may have to wait on a narrow link.
pub(super) const PART_BYTES: usize = 8 << 10;
/// Most bytes of a decompressed change, so that damaged bytes can't exhaust memory. It is eight
/// times the document expected in two years.
const MAX_BYTES: u64 = 32 << 20;

/// Identifies an encoded change.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeId {
    /// Version that it starts from; `None` if it contains the whole document.
    pub base: Option<Head>,
    /// XXH3 of the encoded bytes.
    pub digest: u64,
    /// Version that it produces.
    pub head: Head,
    /// Number of encoded bytes.
    pub size: u32,
}

/// An encoded change.
#[derive(Clone, Debug)]
pub struct Change {
    bytes: Vec<u8>,
    id: ChangeId,
}

/// What is encoded.
#[derive(Deserialize, Serialize)]
enum Content {
    Document(Version),
    Patch(Patch),
}

impl Change {
    /// Encodes the change from `base` to `version`; the whole document without a base, or if a
    /// patch would be larger.
    ///
    /// # Errors
    ///
    /// If the codec or the compression fails, which happens only when memory is short.
    pub fn between(base: Option<&Version>, version: &Version) -> Result<Self, Error> {
        let patch = base.map(|base| Patch::between(base, version));
        let patch = patch.filter(|patch| patch.size() < version.document.len());
        let base = patch.as_ref().map(|patch| patch.base);
        let content = patch.map_or_else(|| Content::Document(version.clone()), Content::Patch);
        let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&postcard::to_stdvec(&content)?)?;
        let bytes = encoder.finish()?;
        let size = u32::try_from(bytes.len()).map_err(|_| Error::Mismatch)?;
        let id = ChangeId { base, digest: xxh3_64(&bytes), head: version.head(), size };
        Ok(Self { bytes, id })
    }

    /// Identity of the change.
    pub fn id(&self) -> ChangeId {
        self.id
    }

    /// Announces the change.
    pub fn offer(&self) -> Offer {
        let start = &self.bytes[..self.bytes.len().min(START_BYTES)];
        Offer { change: self.id, start: start.to_vec() }
    }

    /// Returns the part from `offset` on.
    pub fn part(&self, offset: u32) -> Part {
        let rest = self.bytes.get(offset as usize..).unwrap_or_default();
        let bytes = rest[..rest.len().min(PART_BYTES)].to_vec();
        Part { bytes: Some(bytes), change: self.id, offset }
    }
}

impl ChangeId {
    /// Decodes a change and applies it to the version held.
    ///
    /// # Errors
    ///
    /// [`Error`] if the bytes are damaged or don't fit the version held.
    pub fn apply(&self, bytes: &[u8], held: Option<&Version>) -> Result<Version, Error> {
        if xxh3_64(bytes) != self.digest {
            return Err(Error::Mismatch);
        }
        let mut content = Vec::new();
        ZlibDecoder::new(bytes).take(MAX_BYTES).read_to_end(&mut content)?;
        let version = match postcard::from_bytes(&content)? {
            Content::Document(version) => version,
            Content::Patch(patch) => patch.apply(held.ok_or(Error::NoBase)?)?,
        };
        if version.head() == self.head { Ok(version) } else { Err(Error::Mismatch) }
    }
}
