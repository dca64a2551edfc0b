//! Reading and atomic replacement of files.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

use super::Error;

/// Permissions of files with a private key.
const PRIVATE_MODE: u32 = 0o600;

/// Reads a text file.
pub(super) fn read(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|source| error(path, source))
}

/// Replaces a file atomically with one that only its owner can read. After a crash, and for a
/// process that reloads it, the file has either its old or its new content.
pub(super) fn replace(path: &Path, text: &str) -> Result<(), Error> {
    let draft = path.with_extension("pem.new");
    write(&draft, text).map_err(|source| error(&draft, source))?;
    fs::rename(&draft, path).map_err(|source| error(path, source))?;
    let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty());
    let folder = folder.unwrap_or(Path::new("."));
    File::open(folder).and_then(|folder| folder.sync_all()).map_err(|source| error(folder, source))
}

/// Creates a folder and its parents.
pub(super) fn make_folder(path: &Path) -> Result<(), Error> {
    fs::create_dir_all(path).map_err(|source| error(path, source))
}

fn write(path: &Path, text: &str) -> io::Result<()> {
    let mut options = OpenOptions::new();
    let mut file = options.write(true).create(true).truncate(true).mode(PRIVATE_MODE).open(path)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()
}

fn error(path: &Path, source: io::Error) -> Error {
    Error::File { path: path.to_path_buf(), source }
}
