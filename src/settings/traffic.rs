use super::Fields;
use super::Mistakes;
use super::Yaml;

/// Default for `threads`. The VMs are small, and one thread handles about 2,000 requests a
/// second, far more than the share of one of 44 entries.
const DEFAULT_THREADS: usize = 2;

/// Threads and routing of callers' requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Traffic {
    /// Number of threads that handle callers' requests, in addition to the control thread.
    pub threads: usize,
    /// Whether upstreams in other failure domains get requests only when those in the same
    /// domain are full.
    pub local: bool,
}

impl Default for Traffic {
    fn default() -> Self {
        Self { threads: DEFAULT_THREADS, local: false }
    }
}

impl Traffic {
    pub(super) fn read(yaml: &Yaml, mistakes: &Mistakes) -> Option<Self> {
        let fields = Fields::open(yaml, mistakes, &["local", "threads"])?;
        Some(Self {
            threads: fields.ranged("threads", DEFAULT_THREADS, &1, &256),
            local: fields.or_default("local", false),
        })
    }
}
