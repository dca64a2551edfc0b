use compact_str::CompactString;

use super::Fields;
use super::Mistakes;
use super::Yaml;
use crate::id::DomainId;
use crate::id::NodeId;
use crate::id::RegionId;

/// Name of this process and location of its VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Node {
    /// Failure domain of the VM.
    pub failure_domain: DomainId,
    /// Name of the process, unique in the fleet.
    pub id: NodeId,
    /// Region of the failure domain.
    pub region: RegionId,
}

impl Node {
    pub(super) fn read(yaml: &Yaml, mistakes: &Mistakes) -> Option<Self> {
        let fields = Fields::open(yaml, mistakes, &["failure_domain", "id", "region"])?;
        let failure_domain = fields.required::<CompactString>("failure_domain");
        let id = fields.required::<CompactString>("id");
        let region = fields.required::<CompactString>("region");
        Some(Self { failure_domain: failure_domain?, id: id?, region: region? })
    }
}
