use std::net::SocketAddr;

use compact_str::CompactString;

use super::Fields;
use super::Mistakes;
use super::Role;
use super::Yaml;
use crate::id::DomainId;
use crate::id::NodeId;
use crate::id::RegionId;

/// Another process that is configured in advance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Address for callers, if the peer is an entry.
    pub callers: Option<SocketAddr>,
    /// Failure domain of its VM.
    pub failure_domain: DomainId,
    /// Its name, which must be the name in its certificate.
    pub id: NodeId,
    /// Its UDP address for links.
    pub links: SocketAddr,
    /// Region of its failure domain.
    pub region: RegionId,
    /// Its roles.
    pub roles: Vec<Role>,
}

impl Peer {
    pub(super) fn read(yaml: &Yaml, mistakes: &Mistakes) -> Option<Self> {
        let allowed = ["callers", "failure_domain", "id", "links", "region", "roles"];
        let fields = Fields::open(yaml, mistakes, &allowed)?;
        let callers = fields.optional::<SocketAddr>("callers");
        let failure_domain = fields.required::<CompactString>("failure_domain");
        let id = fields.required::<CompactString>("id");
        let links = fields.required::<SocketAddr>("links");
        let region = fields.required::<CompactString>("region");
        let roles = roles(&fields);
        Some(Self {
            callers,
            failure_domain: failure_domain?,
            id: id?,
            links: links?,
            region: region?,
            roles,
        })
    }
}

/// Roles of a process, sorted and without duplicates. No role is a mistake.
pub(super) fn roles(fields: &Fields) -> Vec<Role> {
    let mut roles = match fields.required_yaml("roles") {
        Some(_) => fields.values::<Role>("roles"),
        None => Vec::new(),
    };
    roles.sort_unstable();
    roles.dedup();
    roles
}
