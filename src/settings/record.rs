use std::path::PathBuf;

use super::Fields;
use super::Mistakes;
use super::Size;
use super::Yaml;

/// Default for `limit`: about half a million inputs, minutes of full load.
const LIMIT: Size = Size(64 * 1024 * 1024);

/// Recording of the decision modules' inputs; off unless set.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// File of JSON lines.
    pub file: PathBuf,
    /// Bytes after which recording stops.
    pub limit: u64,
}

impl Record {
    pub(super) fn read(yaml: &Yaml, mistakes: &Mistakes) -> Option<Self> {
        let fields = Fields::open(yaml, mistakes, &["file", "limit"])?;
        let file = fields.required::<PathBuf>("file");
        let limit = fields.ranged("limit", LIMIT, &Size(1024), &Size(1 << 40)).0;
        Some(Self { file: file?, limit })
    }
}
