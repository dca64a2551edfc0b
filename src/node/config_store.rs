use std::path::Path;

use crate::config::Version;
use crate::storage;
use crate::storage::Disk;
use crate::storage::Folder;

/// File of the version in force.
const FILE: &str = "configuration";
/// The same, while it is written.
const DRAFT: &str = "configuration.draft";

/// The configuration in force, on this process's own disk: a restarted entry starts
/// from it, and so never from an older one.
pub(super) struct ConfigStore {
    disk: Box<dyn Disk>,
}

impl ConfigStore {
    /// Opens `folder`, and gives what it holds; a damaged file counts as none, since
    /// control and the peers hold the same.
    pub(super) fn open(folder: &Path) -> Result<(Self, Option<Version>), storage::Error> {
        let disk = Folder::open(folder)?;
        let kept = disk.read(FILE).ok().and_then(|bytes| decode(&bytes));
        Ok((Self { disk: Box::new(disk) }, kept))
    }

    /// Keeps a version in place of the last; on failure the last stays.
    pub(super) fn save(&mut self, version: &Version) {
        let Some(bytes) = encode(version) else { return };
        let disk = &mut self.disk;
        let kept = disk
            .truncate(DRAFT, 0)
            .and_then(|()| disk.append(DRAFT, &bytes))
            .and_then(|()| disk.sync(DRAFT))
            .and_then(|()| disk.rename(DRAFT, FILE))
            .and_then(|()| disk.sync_names());
        if let Err(error) = kept {
            tracing::warn!(target: "hemlockfield::config", "configuration is not kept: {error}");
        }
    }
}

fn encode(version: &Version) -> Option<Vec<u8>> {
    let body = postcard::to_stdvec(version).ok()?;
    let mut bytes = crc32fast::hash(&body).to_le_bytes().to_vec();
    bytes.extend(body);
    Some(bytes)
}

fn decode(bytes: &[u8]) -> Option<Version> {
    let (sum, body) = bytes.split_first_chunk::<4>()?;
    if crc32fast::hash(body) != u32::from_le_bytes(*sum) {
        return None;
    }
    postcard::from_bytes(body).ok()
}
