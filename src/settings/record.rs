use std::path::PathBuf;

use super::Fields;
use super::Mistakes;
use super::Size;
use super::Yaml;

/// Default for `limit`: about half a million inputs, which is several minutes of full load.
const DEFAULT_LIMIT: Size = Size(64 * 1024 * 1024);

/// Recording of the inputs of decision modules. Off unless set.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Output file, in JSON lines.
    pub file: PathBuf,
    /// Size in bytes at which recording stops.
    pub limit: u64,
}

impl Record {
    pub(super) fn read(yaml: &Yaml, mistakes: &Mistakes) -> Option<Self> {
        let fields = Fields::open(yaml, mistakes, &["file", "limit"])?;
        let file = fields.required::<PathBuf>("file");
        let limit = fields.ranged("limit", DEFAULT_LIMIT, &Size(1024), &Size(1 << 40)).0;
        Some(Self { file: file?, limit })
    }
}
