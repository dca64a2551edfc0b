//! Paths of a VM's key files.

use std::path::Path;
use std::path::PathBuf;

/// Paths of a VM's certificate files.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Paths {
    /// Certificate of the authority.
    pub authority: PathBuf,
    /// Certificate and private key of the VM, in one file so that a renewal replaces both
    /// atomically.
    pub identity: PathBuf,
}

impl Paths {
    /// Files with the default names in one folder.
    pub fn in_folder(folder: &Path) -> Self {
        Self { authority: folder.join("authority.pem"), identity: folder.join("identity.pem") }
    }
}
