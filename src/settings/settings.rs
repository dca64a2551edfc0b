use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use super::Directory;
use super::Error;
use super::Fields;
use super::Interface;
use super::Keys;
use super::Limits;
use super::Listen;
use super::Log;
use super::Metrics;
use super::Mistakes;
use super::Node;
use super::Peer;
use super::Record;
use super::Retry;
use super::Role;
use super::Shutdown;
use super::Traffic;
use super::Yaml;
use super::peer::roles;
use crate::quota;

/// Every top-level field.
const ALLOWED_FIELDS: &[&str] = &[
    "data",
    "directory",
    "first_start",
    "interface",
    "keys",
    "limits",
    "listen",
    "log",
    "metrics",
    "node",
    "peers",
    "quota",
    "record",
    "retry",
    "roles",
    "seeds",
    "shutdown",
    "timeline",
    "traffic",
    "trusted_network",
];

/// Validated settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Folder for durable state; required for a control.
    pub data: Option<PathBuf>,
    /// Directory of entries for callers.
    pub directory: Directory,
    /// Whether the whole fleet starts for the first time, so that its seeds create the quorum
    /// log.
    pub first_start: bool,
    /// Protocol by which others talk to this process.
    pub interface: Interface,
    /// Keys for links. Without them links are limited to loopback, unless the network is
    /// trusted.
    pub keys: Option<Keys>,
    /// Resource and time limits.
    pub limits: Limits,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Log levels.
    pub log: Log,
    /// Targets of metrics; none if unset.
    pub metrics: Option<Metrics>,
    /// Name and location of this process.
    pub node: Node,
    /// Processes configured in advance, sorted by name.
    pub peers: Vec<Peer>,
    /// How the rate limits of teams are enforced.
    pub quota: quota::Config,
    /// Recording of inputs of decision modules; off unless set.
    pub record: Option<Record>,
    /// Retry budget.
    pub retry: Retry,
    /// Roles, sorted.
    pub roles: Vec<Role>,
    /// Addresses of some controls, through which the others are discovered. With seeds, entries
    /// attach to controls, and the ids of processes are IP addresses.
    pub seeds: Vec<SocketAddr>,
    /// Shutdown behaviour.
    pub shutdown: Shutdown,
    /// File to which events for the time line are written.
    pub timeline: Option<PathBuf>,
    /// Threads and routing of callers' requests.
    pub traffic: Traffic,
    /// Whether everyone who can reach a port of this process is trusted, so that links need no
    /// keys.
    pub trusted_network: bool,
}

impl Settings {
    /// Reads and validates the file at `path`.
    ///
    /// # Errors
    ///
    /// [`Error::Unreadable`] when the file can't be read, [`Error::Invalid`] when it has
    /// mistakes.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path)
            .map_err(|source| Error::Unreadable { path: path.into(), source })?;
        Self::parse(&path.display().to_string(), &text)
    }

    /// Validates `text`. `file` is its name in mistakes.
    ///
    /// # Errors
    ///
    /// [`Error::Invalid`] when the text has mistakes.
    pub fn parse(file: &str, text: &str) -> Result<Self, Error> {
        let yaml = Yaml::parse(file, text).map_err(|mistake| Error::Invalid(vec![mistake]))?;
        let mistakes = Mistakes::new(file);
        let settings = Self::read(&yaml, &mistakes);
        let mistakes = mistakes.into_sorted();
        match settings {
            Some(settings) if mistakes.is_empty() => Ok(settings),
            _ => Err(Error::Invalid(mistakes)),
        }
    }

    /// Whether the process has `role`.
    pub fn has_role(&self, role: Role) -> bool {
        self.roles.contains(&role)
    }

    fn read(yaml: &Yaml, mistakes: &Mistakes) -> Option<Self> {
        let fields = Fields::open(yaml, mistakes, ALLOWED_FIELDS)?;
        let optional = |name: &str| fields.yaml(name);
        let node = fields.required_yaml("node").and_then(|yaml| Node::read(yaml, mistakes));
        let listen = fields.required_yaml("listen").and_then(|yaml| Listen::read(yaml, mistakes));
        let settings = Self {
            data: fields.optional("data"),
            directory: optional("directory")
                .and_then(|yaml| Directory::read(yaml, mistakes))
                .unwrap_or_default(),
            first_start: fields.or_default("first_start", false),
            interface: fields.or_default("interface", Interface::default()),
            keys: optional("keys").and_then(|yaml| Keys::read(yaml, mistakes)),
            limits: optional("limits")
                .and_then(|yaml| Limits::read(yaml, mistakes))
                .unwrap_or_default(),
            log: optional("log").and_then(|yaml| Log::read(yaml, mistakes)).unwrap_or_default(),
            metrics: optional("metrics").and_then(|yaml| Metrics::read(yaml, mistakes)),
            peers: peers(&fields),
            quota: optional("quota")
                .and_then(|yaml| quota::Config::read(yaml, mistakes))
                .unwrap_or_default(),
            record: optional("record").and_then(|yaml| Record::read(yaml, mistakes)),
            retry: optional("retry")
                .and_then(|yaml| Retry::read(yaml, mistakes))
                .unwrap_or_default(),
            roles: roles(&fields),
            seeds: fields.values("seeds"),
            shutdown: optional("shutdown")
                .and_then(|yaml| Shutdown::read(yaml, mistakes))
                .unwrap_or_default(),
            timeline: optional("timeline").and_then(|yaml| timeline(yaml, mistakes)),
            traffic: optional("traffic")
                .and_then(|yaml| Traffic::read(yaml, mistakes))
                .unwrap_or_default(),
            trusted_network: fields.or_default("trusted_network", false),
            listen: listen?,
            node: node?,
        };
        settings.check(&fields);
        Some(settings)
    }

    /// Checks constraints between fields.
    fn check(&self, fields: &Fields) {
        let mistakes = fields.mistakes();
        let roles = fields.line_of("roles");
        if self.has_role(Role::Control) && fields.yaml("data").is_none() {
            mistakes.add(roles, "role `control` needs `data`, the folder of its durable state");
        }
        if self.has_role(Role::Entry) && self.listen.callers.is_none() {
            mistakes.add(roles, "role `entry` needs `listen.callers`, the address for callers");
        }
        self.check_loopback(fields);
        self.check_peers(fields);
        self.check_seeds(fields);
    }

    /// With seeds, controls are known by their addresses alone, so ids must be addresses and
    /// links have no keys.
    fn check_seeds(&self, fields: &Fields) {
        if self.seeds.is_empty() {
            return;
        }
        let address = self.listen.links.ip().to_string();
        if self.node.id != address {
            let text =
                format!("`{}` must be `{address}`: with `seeds`, ids are addresses", self.node.id);
            fields.mistakes().add(fields.line_of("node"), text);
        }
        if !self.trusted_network {
            let text = "`seeds` need `trusted_network: true`: they name no keys";
            fields.mistakes().add(fields.line_of("seeds"), text);
        }
    }

    /// Requests from other entries carry the caller's address, and nothing proves who sent them.
    fn check_peers(&self, fields: &Fields) {
        let Some(address) = self.listen.peers else { return };
        let mistakes = fields.mistakes();
        let line = fields.line_of("listen");
        if !self.trusted_network && !address.ip().is_loopback() {
            let text = "`listen.peers` needs `trusted_network: true`: it asks for no keys";
            mistakes.add(line, text);
        }
        if !self.has_role(Role::Entry) || self.seeds.is_empty() {
            mistakes.add(line, "`listen.peers` is for entries that follow controls, by `seeds`");
        }
    }

    /// Without keys anyone who can reach the port could join the fleet. A process without keys
    /// is therefore limited to loopback, unless the network is trusted.
    fn check_loopback(&self, fields: &Fields) {
        let is_trusted = self.trusted_network || self.listen.links.ip().is_loopback();
        if self.keys.is_some() || is_trusted {
            return;
        }
        let address = self.listen.links;
        let text = format!(
            "`{address}` is not loopback; links need `keys` there, or `trusted_network: true`"
        );
        fields.mistakes().add(fields.line_of("listen"), text);
    }
}

/// Peers sorted by name. A duplicate name or address is a mistake.
fn peers(fields: &Fields) -> Vec<Peer> {
    let mistakes = fields.mistakes();
    let mut names = BTreeSet::new();
    let mut addresses = BTreeSet::new();
    let mut peers = Vec::new();
    for yaml in fields.items("peers") {
        let Some(peer) = Peer::read(yaml, mistakes) else { continue };
        if !names.insert(peer.id.clone()) {
            mistakes.add(yaml.line, format!("peer `{}` is named twice; names are unique", peer.id));
        }
        if !addresses.insert(peer.links) {
            let text = format!("`{}` is the address of two peers; each has its own", peer.links);
            mistakes.add(yaml.line, text);
        }
        peers.push(peer);
    }
    peers.sort_by(|one, other| one.id.cmp(&other.id));
    peers
}

fn timeline(yaml: &Yaml, mistakes: &Mistakes) -> Option<PathBuf> {
    Fields::open(yaml, mistakes, &["file"])?.required("file")
}
