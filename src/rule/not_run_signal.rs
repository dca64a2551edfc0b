use compact_str::CompactString;

use crate::settings::Fields;
use crate::settings::Mistakes;
use crate::settings::Yaml;

/// Default for `status`.
const DEFAULT_STATUS: u16 = 503;
/// Defaults for `header` and `value`.
const DEFAULT_HEADER: (&str, &str) = ("x-not-run", "true");

/// Status and header by which an upstream states that it did not run a request.
/// A 503 without the header proves nothing, because an upstream may send it after
/// part of the work is done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NotRunSignal {
    /// Name of the header, in lower case.
    pub header: CompactString,
    /// Status of the answer.
    pub status: u16,
    /// Value of the header.
    pub value: CompactString,
}

impl Default for NotRunSignal {
    fn default() -> Self {
        Self {
            header: DEFAULT_HEADER.0.into(),
            status: DEFAULT_STATUS,
            value: DEFAULT_HEADER.1.into(),
        }
    }
}

impl NotRunSignal {
    /// Whether an answer proves that the request was not run; `value` is that of
    /// [`Self::header`].
    pub fn proves(&self, status: u16, value: Option<&str>) -> bool {
        status == self.status && value == Some(self.value.as_str())
    }

    /// Reads the `not_run` field of a service.
    pub(super) fn read(yaml: &Yaml, mistakes: &Mistakes) -> Option<Self> {
        let fields = Fields::open(yaml, mistakes, &["header", "status", "value"])?;
        let header: CompactString = fields.or_default("header", DEFAULT_HEADER.0.into());
        let status = fields.ranged("status", DEFAULT_STATUS, &400, &599);
        let value = fields.or_default("value", DEFAULT_HEADER.1.into());
        Some(Self { header: header.to_lowercase(), status, value })
    }
}
