use std::path::PathBuf;

use super::Fields;
use super::Mistakes;
use super::Yaml;

/// Files of the keys for links between processes, as PEM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Keys {
    /// Certificate of the fleet's authority.
    pub authority: PathBuf,
    /// Certificate and private key of this process, in one file so that a renewal
    /// replaces both at once.
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
