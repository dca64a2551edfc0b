use std::path::Path;

use crate::config::Version;
use crate::storage;
use crate::storage::Disk;
use crate::storage::Folder;

/// File with the version in force.
const FILE: &str = "configuration";
/// File to which a version is written before it replaces the one in force.
const DRAFT: &str = "configuration.draft";

/// Stores the configuration in force on this process's disk, so that a restarted entry never
/// starts from an older one.
pub(super) struct ConfigStore {
    disk: Box<dyn Disk>,
}

impl ConfigStore {
    /// Opens `folder` and reads the stored version. A damaged file counts as missing, since the
    /// controls and the peers have the same version.
    ///
    /// # Errors
    /// When the folder can't be opened.
    pub(super) fn open(folder: &Path) -> Result<(Self, Option<Version>), storage::Error> {
        let disk = Folder::open(folder)?;
        let stored = disk.read(FILE).ok().and_then(|bytes| decode(&bytes));
        Ok((Self { disk: Box::new(disk) }, stored))
    }

    /// Replaces the stored version. On failure the previous one stays and the error is logged.
    pub(super) fn save(&mut self, version: &Version) {
        let Some(bytes) = encode(version) else { return };
        let disk = &mut self.disk;
        let saved = disk
            .truncate(DRAFT, 0)
            .and_then(|()| disk.append(DRAFT, &bytes))
            .and_then(|()| disk.sync(DRAFT))
            .and_then(|()| disk.rename(DRAFT, FILE))
            .and_then(|()| disk.sync_names());
        if let Err(error) = saved {
            tracing::warn!(target: "hemlockfield::config", "can't save the configuration: {error}");
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
