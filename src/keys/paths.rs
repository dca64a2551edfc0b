//! Where a VM's files are.

use std::path::Path;
use std::path::PathBuf;

/// Where a VM's certificate files are.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Paths {
    /// Certificate of the authority.
    pub authority: PathBuf,
    /// The VM's own certificate and key, in one file so that a renewal replaces
    /// both at once.
    pub identity: PathBuf,
}

impl Paths {
    /// Files under the usual names in one folder.
    pub fn in_folder(folder: &Path) -> Self {
        Self { authority: folder.join("authority.pem"), identity: folder.join("identity.pem") }
    }
}
