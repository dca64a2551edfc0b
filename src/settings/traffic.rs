use super::Fields;
use super::Mistakes;
use super::Yaml;

/// Default for `threads`: the VMs are small; one thread carries about 2,000
/// requests a second, far above one of 44 entries' share.
const THREADS: usize = 2;

/// Threads that carry callers' requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Traffic {
    /// Number of threads, besides the one of control.
    pub threads: usize,
    /// Whether upstreams in other failure domains get work only when the near ones are full.
    pub local: bool,
}

impl Default for Traffic {
    fn default() -> Self {
        Self { threads: THREADS, local: false }
    }
}

impl Traffic {
    pub(super) fn read(yaml: &Yaml, mistakes: &Mistakes) -> Option<Self> {
        let fields = Fields::open(yaml, mistakes, &["local", "threads"])?;
        Some(Self {
            threads: fields.ranged("threads", THREADS, &1, &256),
            local: fields.or("local", false),
        })
    }
}
