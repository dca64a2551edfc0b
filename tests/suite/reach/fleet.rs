//! A control and entries in this process, with upstreams that each entry reaches by a network of
//! its own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use async_std::task::block_on;
use hemlockfield::node::Node;
use hemlockfield::settings::Settings;
use tempfile::TempDir;

use super::network::Form;
use super::network::Network;
use crate::process::fleet::wait_for;
use crate::stand_in::Upstream;
use crate::stand_in::ask;
use crate::stand_in::metric;

const FRONT: u16 = 19_080;
const ORDERS: u16 = 19_081;
const LINKS: u16 = 19_082;
const PEERS: u16 = 19_083;
const METRICS: u16 = 19_084;
/// Failure domains of the entries.
const DOMAINS: [&str; 4] = ["north", "north", "south", "south"];
/// Upstreams of each service, spread over the failure domains in turn.
const SERVICES: [(&str, usize); 2] = [("hull", 6), ("cert", 4)];
/// Callers of each entry that send requests in the background, and the pause after each.
const CALLERS: usize = 2;
const CALLER_PAUSE: Duration = Duration::from_millis(40);

static NETS: AtomicUsize = AtomicUsize::new(0);

pub(crate) struct Fleet {
    /// Service and address of each upstream.
    announced: Vec<(&'static str, SocketAddr)>,
    entries: Vec<(Node, Network)>,
    _control: Node,
    _folder: TempDir,
    net: String,
    upstreams: Vec<(&'static str, Upstream)>,
}

/// Callers in the background, until dropped.
pub(super) struct Callers(Arc<AtomicBool>);

impl Drop for Callers {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

impl Fleet {
    /// Starts a fleet with upstreams of its own, in which every entry serves callers.
    pub(super) fn start() -> Self {
        let upstreams = SERVICES.into_iter().flat_map(|(service, count)| {
            std::iter::repeat_with(move || (service, Upstream::start())).take(count)
        });
        let upstreams: Vec<(&'static str, Upstream)> = upstreams.collect();
        let address = |upstream: &Upstream| upstream.address.parse().unwrap();
        let announced = upstreams.iter().map(|(service, it)| (*service, address(it))).collect();
        let mut fleet = Self::start_before(announced, &document());
        fleet.upstreams = upstreams;
        for entry in 0..DOMAINS.len() {
            wait_for("an answer", || {
                fleet.look(entry, "hull") == 200 && fleet.look(entry, "cert") == 200
            });
        }
        wait_for("a list of all", || (0..DOMAINS.len()).all(|entry| fleet.is_listed(entry)));
        fleet
    }

    /// Starts a fleet before these upstreams, each of a service in the configuration.
    pub(crate) fn start_before(announced: Vec<(&'static str, SocketAddr)>, document: &str) -> Self {
        let number = NETS.fetch_add(1, Ordering::Relaxed) % 200;
        let net = format!("127.{}.{number}", 220 + std::process::id() % 30);
        let folder = TempDir::new().unwrap();
        let control = settings(&net, 0, &format!("data: \"{}\"\n", folder.path().display()));
        let control = block_on(Node::start(control, false)).unwrap();
        let entry = |at| {
            let network = Network::default();
            let settings = settings(&net, at, "limits: {connect: 250ms}\n");
            let node = Node::start_with(settings, false, Arc::new(network.clone()));
            (block_on(node).unwrap(), network)
        };
        let entries = (1..=DOMAINS.len()).map(entry).collect();
        let upstreams = Vec::new();
        let fleet = Self { announced, entries, _control: control, _folder: folder, net, upstreams };
        wait_for("a configuration", || fleet.order("PUT /hemlockfield/config", document).0 == 200);
        fleet.announce();
        fleet
    }

    /// Addresses at which the entries accept callers.
    pub(crate) fn fronts(&self) -> Vec<String> {
        let front = |at| format!("{}:{FRONT}", ip(&self.net, at));
        (1..=DOMAINS.len()).map(front).collect()
    }

    /// Cuts entries off from the upstreams of one service, or of all.
    pub(crate) fn cut(&self, entries: &[usize], form: Form, service: Option<&str>) {
        let behind = self.announced.iter().filter(|(name, _)| service.is_none_or(|it| it == *name));
        let behind: Vec<SocketAddr> = behind.map(|(_, address)| *address).collect();
        entries.iter().for_each(|at| self.entries[*at].1.cut(form, behind.clone()));
    }

    pub(crate) fn heal(&self) {
        self.entries.iter().for_each(|(_, network)| network.heal());
    }

    /// Number of connections to upstreams that an entry has opened.
    pub(super) fn opened(&self, entry: usize) -> usize {
        self.entries[entry].1.opened()
    }

    /// Requests that arrived at the upstreams of a service within the last `span`.
    pub(super) fn count_arrivals(&self, service: &str, span: Duration) -> usize {
        let upstreams = self.upstreams.iter().filter(|(name, _)| *name == service);
        upstreams.map(|(_, upstream)| upstream.count_arrivals(span)).sum()
    }

    /// Adds these lines to the heads of the answers of a service's upstreams.
    pub(super) fn set_lines(&self, service: &str, lines: &'static str) {
        let upstreams = self.upstreams.iter().filter(|(name, _)| *name == service);
        upstreams.for_each(|(_, upstream)| upstream.set_lines(lines));
    }

    /// Value of a metric of an entry.
    pub(crate) fn metric(&self, entry: usize, kind: &str) -> usize {
        metric(&format!("{}:{METRICS}", ip(&self.net, entry + 1)), kind)
    }

    /// Status of the answer to a request that may run once, at an entry.
    pub(super) fn sign(&self, entry: usize, service: &str) -> u16 {
        let headers = "Hemlockfield-Request-Id: 8\r\nHemlockfield-Deadline-Ms: 1500\r\n";
        let address = format!("{}:{FRONT}", ip(&self.net, entry + 1));
        ask(&address, &format!("POST /{service}-sign/1"), headers, "").0
    }

    /// Status of the answer to a lookup at an entry; 0 where there is none.
    pub(super) fn look(&self, entry: usize, service: &str) -> u16 {
        look(&self.net, entry, service)
    }

    /// Starts callers of all entries.
    pub(super) fn callers(&self) -> Callers {
        let done = Arc::new(AtomicBool::new(false));
        for entry in (0..DOMAINS.len()).flat_map(|entry| [entry; CALLERS]) {
            let (done, net) = (Arc::clone(&done), self.net.clone());
            thread::spawn(move || {
                while !done.load(Ordering::Relaxed) {
                    for (service, _) in SERVICES {
                        look(&net, entry, service);
                    }
                    thread::sleep(CALLER_PAUSE);
                }
            });
        }
        Callers(done)
    }

    /// Whether the control tells callers of an entry.
    pub(super) fn is_listed(&self, entry: usize) -> bool {
        let (status, body) = self.order("GET /hemlockfield/resolve?zone=west", "");
        status == 200 && body.contains(&format!("{}:{FRONT}", ip(&self.net, entry + 1)))
    }

    fn announce(&self) {
        for (at, (service, address)) in self.announced.iter().enumerate() {
            let domain = ["north", "south"][at % 2];
            let body = format!(
                r#"{{"address":"{address}","sequence":1,"service":"{service}","slots":4,"state":"ready","zone":"{domain}"}}"#
            );
            let line = format!("PUT /hemlockfield/instances/i-{at}");
            wait_for("an upstream", || self.order(&line, &body).0 == 200);
        }
    }

    fn order(&self, line: &str, body: &str) -> (u16, String) {
        ask(&format!("{}:{ORDERS}", ip(&self.net, 0)), line, "", body)
    }
}

/// A configuration with a route for lookups and one for requests that may run once, for each service.
fn document() -> String {
    let services: Vec<String> =
        SERVICES.iter().map(|(name, _)| format!(r#"{{"name":"{name}"}}"#)).collect();
    let paths = SERVICES.iter().map(|(name, _)| {
            let path = |suffix: &str, kind: &str| {
                format!(
                    r#"{{"name":"{name}{suffix}","pathPrefix":"/{name}{suffix}/","routeType":"{kind}","service":"{name}","timeoutS":2}}"#
                )
            };
            format!("{},{}", path("", "safe"), path("-sign", "unsafe"))
        });
    let paths: Vec<String> = paths.collect();
    format!(
        r#"{{"version":"1","services":[{}],"hosts":[{{"host":"yard.example","paths":[{}]}}]}}"#,
        services.join(","),
        paths.join(",")
    )
}

fn look(net: &str, entry: usize, service: &str) -> u16 {
    let headers = "Hemlockfield-Request-Id: 7\r\nHemlockfield-Deadline-Ms: 1500\r\n";
    let address = format!("{}:{FRONT}", ip(net, entry + 1));
    ask(&address, &format!("GET /{service}/1"), headers, "").0
}

/// Address of a process: the control is the first, then the entries.
fn ip(net: &str, at: usize) -> String {
    format!("{net}.{}", at + 1)
}

fn settings(net: &str, at: usize, more: &str) -> Settings {
    let (own, control) = (ip(net, at), ip(net, 0));
    let role = if at == 0 { "control" } else { "entry" };
    let domain = if at == 0 { "west" } else { DOMAINS[at - 1] };
    let front = match at {
        0 => String::new(),
        _ => format!("callers: \"{own}:{FRONT}\", peers: \"{own}:{PEERS}\", "),
    };
    let text = format!(
        "node: {{id: \"{own}\", region: here, failure_domain: {domain}}}\nroles: [{role}]\n\
         interface: platform\ntrusted_network: true\nseeds: [\"{control}:{ORDERS}\"]\n\
         first_start: true\ndirectory: {{lifetime: 2s}}\n\
         metrics: {{listen: \"{own}:{METRICS}\"}}\n\
         listen: {{{front}orders: [\"{own}:{ORDERS}\"], links: \"{own}:{LINKS}\"}}\n{more}"
    );
    Settings::parse("settings", &text).unwrap()
}
