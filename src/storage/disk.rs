//! What the log needs of a folder.

use std::fmt::Debug;
use std::io::Result;

/// One flat folder of files. Nothing lasts until it is synced: contents by
/// [`Disk::sync`], names by [`Disk::sync_names`].
pub trait Disk: Debug + Send {
    /// Appends to a file, which is created where it doesn't exist.
    fn append(&mut self, file: &str, bytes: &[u8]) -> Result<()>;

    /// Names of all files, in order.
    fn list(&self) -> Result<Vec<String>>;

    /// Whole contents of a file.
    fn read(&self, file: &str) -> Result<Vec<u8>>;

    /// Removes a file.
    fn remove(&mut self, file: &str) -> Result<()>;

    /// Renames a file, in place of any file of the new name.
    fn rename(&mut self, from: &str, to: &str) -> Result<()>;

    /// Makes the contents of a file last.
    fn sync(&mut self, file: &str) -> Result<()>;

    /// Makes the names in the folder last.
    fn sync_names(&mut self) -> Result<()>;

    /// Cuts a file to `length` bytes.
    fn truncate(&mut self, file: &str, length: u64) -> Result<()>;
}
