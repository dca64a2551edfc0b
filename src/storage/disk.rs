//! File operations that the log needs.

use std::fmt::Debug;
use std::io::Result;

/// Flat folder of files. Nothing is durable until it is synced: contents by
/// [`Disk::sync`], names by [`Disk::sync_names`].
pub trait Disk: Debug + Send {
    /// Appends to a file and creates it if it doesn't exist.
    fn append(&mut self, file: &str, bytes: &[u8]) -> Result<()>;

    /// Sorted names of all files.
    fn list(&self) -> Result<Vec<String>>;

    /// Size of a file in bytes.
    fn length(&self, file: &str) -> Result<u64>;

    /// Reads a whole file.
    fn read(&self, file: &str) -> Result<Vec<u8>> {
        self.read_at(file, 0, usize::MAX)
    }

    /// Reads `length` bytes from `offset` on, or all up to the end of the file if it is shorter.
    fn read_at(&self, file: &str, offset: u64, length: usize) -> Result<Vec<u8>>;

    /// Removes a file.
    fn remove(&mut self, file: &str) -> Result<()>;

    /// Renames a file and replaces any file with the new name.
    fn rename(&mut self, from: &str, to: &str) -> Result<()>;

    /// Makes the contents of a file durable.
    fn sync(&mut self, file: &str) -> Result<()>;

    /// Makes created, renamed and removed names durable.
    fn sync_names(&mut self) -> Result<()>;

    /// Truncates a file to `length` bytes and creates it if it doesn't exist.
    fn truncate(&mut self, file: &str, length: u64) -> Result<()>;
}
