use crate::id::DomainId;
use crate::id::NodeId;

/// What a picker is told at its start.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Failure domain of this entry.
    pub domain: DomainId,
    /// Entries in the fleet that share the upstreams.
    pub entries: usize,
    /// Name of this entry.
    pub entry: NodeId,
    /// Whether far upstreams get work only when the near ones are full.
    pub local: bool,
    /// Most upstreams to use at once.
    pub subset_max: usize,
    /// Factor on the cost of an upstream in another failure domain: work goes
    /// there when the near ones are this much more loaded.
    pub remote_cost: f64,
    /// Whether loads told on answers count.
    pub uses_reports: bool,
}

impl Setup {
    /// Most upstreams to use at once, unless set. An entry knows more of each when
    /// they are fewer: at 44 entries and 30 upstreams, twelve gave a lower p99
    /// than all thirty, and six a higher one, as hashing then loads some more.
    pub const SUBSET_MAX: usize = 12;

    /// The usual setup of an entry.
    #[must_use]
    pub fn new(entry: NodeId, domain: DomainId, entries: usize) -> Self {
        Self {
            domain,
            entries,
            entry,
            local: false,
            subset_max: Self::SUBSET_MAX,
            remote_cost: 1.2,
            uses_reports: false,
        }
    }
}
