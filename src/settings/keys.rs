use std::path::PathBuf;

use super::Fields;
use super::Mistakes;
use super::Yaml;

/// PEM files with the keys for links between processes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Keys {
    /// Certificate of the fleet's authority.
    pub authority: PathBuf,
    /// Certificate and private key of this process, in one file so that a renewal replaces
    /// both atomically.
    pub identity: PathBuf,
}

impl Keys {
    pub(super) fn read(yaml: &Yaml, mistakes: &Mistakes) -> Option<Self> {
        let fields = Fields::open(yaml, mistakes, &["authority", "identity"])?;
        let authority = fields.required::<PathBuf>("authority");
        let identity = fields.required::<PathBuf>("identity");
        Some(Self { authority: authority?, identity: identity? })
    }
}
