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
const ALLOWED: &[&str] = &[
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

/// Settings of one process, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Folder for durable state; a control has one.
    pub data: Option<PathBuf>,
    /// What callers are told about the entries.
    pub directory: Directory,
    /// Whether the whole fleet starts for the first time: its seeds then found the log.
    pub first_start: bool,
    /// How the world outside speaks to this process.
    pub interface: Interface,
    /// Keys for links; without them the process may only use loopback.
    pub keys: Option<Keys>,
    /// What the process takes on at most.
    pub limits: Limits,
    /// Addresses it listens on.
    pub listen: Listen,
    /// What is logged.
    pub log: Log,
    /// Where metrics go, if anywhere.
    pub metrics: Option<Metrics>,
    /// Who it is.
    pub node: Node,
    /// Processes known from the start, in the order of their names.
    pub peers: Vec<Peer>,
    /// How limits of teams are counted.
    pub quota: quota::Config,
    /// Recording of decisions; off unless set.
    pub record: Option<Record>,
    /// How much may be tried again.
    pub retry: Retry,
    /// What it does, in a settled order.
    pub roles: Vec<Role>,
    /// Addresses of some controls, by which the others are found. Where there are any,
    /// entries follow the controls, and ids are addresses.
    pub seeds: Vec<SocketAddr>,
    /// How it ends.
    pub shutdown: Shutdown,
    /// File of events for the time line.
    pub timeline: Option<PathBuf>,
    /// Threads for callers' requests.
    pub traffic: Traffic,
    /// Whether whoever reaches a port of this process may be believed: links have no keys.
    pub trusted_network: bool,
}

impl Settings {
    /// Reads and checks the file at `path`.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path)
            .map_err(|source| Error::Unreadable { path: path.into(), source })?;
        Self::parse(&path.display().to_string(), &text)
    }

    /// Checks `text`; `file` names it in mistakes.
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
    pub fn has(&self, role: Role) -> bool {
        self.roles.contains(&role)
    }

    fn read(yaml: &Yaml, mistakes: &Mistakes) -> Option<Self> {
        let fields = Fields::open(yaml, mistakes, ALLOWED)?;
        let part = |name: &str| fields.yaml(name);
        let node = fields.needed("node").and_then(|yaml| Node::read(yaml, mistakes));
        let listen = fields.needed("listen").and_then(|yaml| Listen::read(yaml, mistakes));
        let settings = Self {
            data: fields.optional("data"),
            directory: part("directory")
                .and_then(|yaml| Directory::read(yaml, mistakes))
                .unwrap_or_default(),
            first_start: fields.or("first_start", false),
            interface: fields.or("interface", Interface::default()),
            keys: part("keys").and_then(|yaml| Keys::read(yaml, mistakes)),
            limits: part("limits")
                .and_then(|yaml| Limits::read(yaml, mistakes))
                .unwrap_or_default(),
            log: part("log").and_then(|yaml| Log::read(yaml, mistakes)).unwrap_or_default(),
            metrics: part("metrics").and_then(|yaml| Metrics::read(yaml, mistakes)),
            peers: peers(&fields),
            quota: part("quota")
                .and_then(|yaml| quota::Config::read(yaml, mistakes))
                .unwrap_or_default(),
            record: part("record").and_then(|yaml| Record::read(yaml, mistakes)),
            retry: part("retry").and_then(|yaml| Retry::read(yaml, mistakes)).unwrap_or_default(),
            roles: roles(&fields),
            seeds: fields.several("seeds"),
            shutdown: part("shutdown")
                .and_then(|yaml| Shutdown::read(yaml, mistakes))
                .unwrap_or_default(),
            timeline: part("timeline").and_then(|yaml| timeline(yaml, mistakes)),
            traffic: part("traffic")
                .and_then(|yaml| Traffic::read(yaml, mistakes))
                .unwrap_or_default(),
            trusted_network: fields.or("trusted_network", false),
            listen: listen?,
            node: node?,
        };
        settings.check(&fields);
        Some(settings)
    }

    /// Checks what no field can tell by itself.
    fn check(&self, fields: &Fields) {
        let mistakes = fields.mistakes();
        let roles = fields.line_of("roles");
        if self.has(Role::Control) && fields.yaml("data").is_none() {
            mistakes.add(roles, "role `control` needs `data`, the folder of its durable state");
        }
        if self.has(Role::Entry) && self.listen.callers.is_none() {
            mistakes.add(roles, "role `entry` needs `listen.callers`, the address for callers");
        }
        self.check_loopback(fields);
        self.check_attached(fields);
    }

    /// Entries follow controls that are known by their addresses alone.
    fn check_attached(&self, fields: &Fields) {
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

    /// Without keys anyone who reaches the port could join the fleet, so a
    /// process without them stays on loopback, where only this VM reaches it.
    fn check_loopback(&self, fields: &Fields) {
        let believed = self.trusted_network || self.listen.links.ip().is_loopback();
        if self.keys.is_some() || believed {
            return;
        }
        let address = self.listen.links;
        let text = format!(
            "`{address}` is not loopback; links need `keys` there, or `trusted_network: true`"
        );
        fields.mistakes().add(fields.line_of("listen"), text);
    }
}

/// Peers in the order of their names; a name or address given twice is a mistake.
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
