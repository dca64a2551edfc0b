use super::Fields;
use super::Mistakes;
use super::Tree;

/// Default for `threads`: the VMs are small; one thread carries about 2,000
/// requests a second, far above one of 44 entries' share.
const THREADS: usize = 2;

/// Threads that carry callers' requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Traffic {
    /// Number of threads, besides the one of control.
    pub threads: usize,
}

impl Default for Traffic {
    fn default() -> Self {
        Self { threads: THREADS }
    }
}

impl Traffic {
    pub(super) fn read(tree: &Tree, mistakes: &Mistakes) -> Option<Self> {
        let fields = Fields::open(tree, mistakes, &["threads"])?;
        Some(Self { threads: fields.ranged("threads", THREADS, &1, &256) })
    }
}
