use crate::id::DomainId;
use crate::id::NodeId;

/// Settings of a picker.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Failure domain of this entry.
    pub domain: DomainId,
    /// Entries of the fleet, which share the upstreams.
    pub entries: usize,
    /// Name of this entry.
    pub entry: NodeId,
    /// Whether far upstreams get requests only when the near ones are full.
    pub local: bool,
    /// Highest number of upstreams to use at once.
    pub subset_max: usize,
    /// Cost factor of an upstream in another failure domain: it gets requests when the near ones
    /// are loaded more by this factor.
    pub remote_cost: f64,
    /// Whether loads reported with answers are used.
    pub uses_reports: bool,
}

impl Setup {
    /// Default of [`Self::subset_max`]. An entry knows more of each upstream when it uses fewer,
    /// which lowers the p99 latency with 44 entries and 30 upstreams. With a limit of six, it is
    /// higher than without a limit, as hashing then loads some upstreams more.
    pub const SUBSET_MAX: usize = 12;

    /// Default settings of an entry.
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
