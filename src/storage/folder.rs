//! Disk in a folder of the real file system.

use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::io::Result;
use std::io::Write;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::path::PathBuf;

use super::disk::Disk;
use super::error::Error;

/// Name of the file that is locked while a process uses the folder.
const LOCK_FILE: &str = "lock";

/// Folder of the real file system, locked against other processes. Two processes that
/// write to one log would invalidate each other's synced records.
#[derive(Debug)]
pub struct Folder {
    _lock: File,
    open: BTreeMap<String, File>,
    path: PathBuf,
}

impl Folder {
    /// Opens and locks the folder, and creates it if it doesn't exist.
    ///
    /// # Errors
    ///
    /// [`Error::Locked`] if another process uses the folder; otherwise an error of the
    /// file system.
    pub fn open(path: &Path) -> std::result::Result<Self, Error> {
        let name = path.display().to_string();
        let lock = create(path).map_err(|source| Error::from_io(&name, source))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(fs::TryLockError::WouldBlock) => {
                return Err(Error::Locked { folder: path.to_owned() });
            }
            Err(fs::TryLockError::Error(source)) => return Err(Error::from_io(&name, source)),
        }
        Ok(Self { _lock: lock, open: BTreeMap::new(), path: path.to_owned() })
    }

    fn file(&mut self, name: &str) -> Result<&mut File> {
        if !self.open.contains_key(name) {
            let options = fs::OpenOptions::new().append(true).create(true).clone();
            let file = options.open(self.path.join(name))?;
            self.open.insert(name.to_owned(), file);
        }
        self.open.get_mut(name).ok_or_else(|| std::io::ErrorKind::NotFound.into())
    }
}

impl Disk for Folder {
    fn append(&mut self, file: &str, bytes: &[u8]) -> Result<()> {
        self.file(file)?.write_all(bytes)
    }

    fn list(&self) -> Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let name = entry?.file_name();
            names.extend(name.into_string().ok().filter(|name| name != LOCK_FILE));
        }
        names.sort();
        Ok(names)
    }

    fn length(&self, file: &str) -> Result<u64> {
        Ok(fs::metadata(self.path.join(file))?.len())
    }

    fn read_at(&self, file: &str, offset: u64, length: usize) -> Result<Vec<u8>> {
        let file = File::open(self.path.join(file))?;
        let left = file.metadata()?.len().saturating_sub(offset);
        let length = usize::try_from(left).unwrap_or(usize::MAX).min(length);
        let mut bytes = vec![0; length];
        file.read_exact_at(&mut bytes, offset)?;
        Ok(bytes)
    }

    fn remove(&mut self, file: &str) -> Result<()> {
        self.open.remove(file);
        fs::remove_file(self.path.join(file))
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.open.remove(from);
        self.open.remove(to);
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn sync(&mut self, file: &str) -> Result<()> {
        self.file(file)?.sync_data()
    }

    fn sync_names(&mut self) -> Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn truncate(&mut self, file: &str, length: u64) -> Result<()> {
        self.file(file)?.set_len(length)
    }
}

/// Creates the folder, syncs its name in the parent folder, and opens the lock file.
fn create(path: &Path) -> Result<File> {
    if !path.exists() {
        fs::create_dir_all(path)?;
        if let Some(parent) = path.parent().filter(|parent| !parent.as_os_str().is_empty()) {
            File::open(parent)?.sync_all()?;
        }
    }
    fs::OpenOptions::new().create(true).truncate(false).write(true).open(path.join(LOCK_FILE))
}
