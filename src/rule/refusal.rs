use compact_str::CompactString;

use crate::settings::Fields;
use crate::settings::Mistakes;
use crate::settings::Tree;

/// Default for `status`.
const STATUS: u16 = 503;
/// Default for `header`: its name and its value.
const HEADER: (&str, &str) = ("x-not-run", "true");

/// How the upstreams of a service say that they did not run a request: this
/// status together with this header. A bare 503 proves nothing, because an
/// upstream may answer it halfway through the work.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Name of the header, in lower case.
    pub header: CompactString,
    /// Status of the answer.
    pub status: u16,
    /// Value of the header.
    pub value: CompactString,
}

impl Default for Refusal {
    fn default() -> Self {
        Self { header: HEADER.0.into(), status: STATUS, value: HEADER.1.into() }
    }
}

impl Refusal {
    /// Whether an answer with `status` and the value of [`Self::header`] proves
    /// that the request was not run.
    pub fn proves(&self, status: u16, value: Option<&str>) -> bool {
        status == self.status && value == Some(self.value.as_str())
    }

    pub(super) fn read(tree: &Tree, mistakes: &Mistakes) -> Option<Self> {
        let fields = Fields::open(tree, mistakes, &["header", "status", "value"])?;
        let header: CompactString = fields.or("header", HEADER.0.into());
        let status = fields.ranged("status", STATUS, &400, &599);
        let value = fields.or("value", HEADER.1.into());
        Some(Self { header: header.to_lowercase(), status, value })
    }
}
