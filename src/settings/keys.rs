use std::path::PathBuf;

use super::Fields;
use super::Mistakes;
use super::Tree;

/// Files of the keys for links between processes, as PEM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Keys {
    /// Certificate of the fleet's authority.
    pub authority: PathBuf,
    /// Certificate of this process.
    pub certificate: PathBuf,
    /// Private key of this process.
    pub key: PathBuf,
}

impl Keys {
    pub(super) fn read(tree: &Tree, mistakes: &Mistakes) -> Option<Self> {
        let fields = Fields::open(tree, mistakes, &["authority", "certificate", "key"])?;
        let authority = fields.required::<PathBuf>("authority");
        let certificate = fields.required::<PathBuf>("certificate");
        let key = fields.required::<PathBuf>("key");
        Some(Self { authority: authority?, certificate: certificate?, key: key? })
    }
}
