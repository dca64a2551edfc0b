//! Controls and entries with the platform's interface, as real processes on loopback addresses of
//! their own.

use std::fs;
use std::fs::File;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tempfile::TempDir;

use super::fleet::wait_for;
use crate::stand_in::Upstream;
use crate::stand_in::ask;
use crate::stand_in::metric;

const BINARY: &str = env!("CARGO_BIN_EXE_hemlockfield");
/// Environment variable with the path of another build to run, such as one of an earlier commit.
const BINARY_VARIABLE: &str = "HEMLOCKFIELD_BINARY";
pub(crate) const CONTROLS: usize = 3;
pub(crate) const ENTRIES: usize = 2;
pub(crate) const FRONT: u16 = 18_080;
pub(crate) const ORDERS: u16 = 18_081;
const DOMAINS: [&str; 4] = ["north", "south", "east", "west"];
const LINKS: u16 = 18_082;
pub(crate) const METRICS: u16 = 18_083;
pub(crate) const PEERS: u16 = 18_084;
const CLAIM: u16 = 18_085;

static NETS: AtomicUsize = AtomicUsize::new(0);

/// Number of entries of a site, and what their settings say.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Layout {
    /// Most descriptors that a process may open, if not the limit of the tests.
    pub(crate) descriptors: Option<u32>,
    pub(crate) domains: usize,
    pub(crate) entries: usize,
    /// Limits of the entries, in the format of the settings.
    pub(crate) limits: &'static str,
    /// Retry budget of the entries, in the format of the settings.
    pub(crate) retry: &'static str,
    /// Graceful shutdown of the entries, in the format of the settings.
    pub(crate) shutdown: &'static str,
}

impl Layout {
    /// Leaves callers' requests no more time for a graceful shutdown than tests need.
    pub(crate) const DEFAULT: Self = Self {
        descriptors: None,
        domains: 1,
        entries: ENTRIES,
        limits: "{}",
        retry: "{}",
        shutdown: "{limit: 5500ms, notice: 500ms}",
    };
}

impl Default for Layout {
    fn default() -> Self {
        Self::DEFAULT
    }
}

/// Controls first, then entries: each has a loopback address, which is its id.
pub(crate) struct Site {
    pub(crate) children: Vec<Option<Child>>,
    /// Keeps other test processes away from the addresses.
    _claim: TcpListener,
    pub(crate) folder: TempDir,
    layout: Layout,
    net: String,
}

impl Site {
    /// A site of which no process runs yet.
    pub(crate) fn new(layout: Layout) -> Self {
        let (net, claim) = claim_net();
        let children = (0..CONTROLS + layout.entries).map(|_| None).collect();
        Self { children, _claim: claim, folder: TempDir::new().unwrap(), layout, net }
    }

    /// Starts the processes in this order.
    pub(crate) fn start(order: &[usize]) -> Self {
        Self::start_with(Layout::default(), order)
    }

    /// Starts the processes in this order, the entries with this retry budget.
    pub(crate) fn start_with_retries(retry: &'static str, order: &[usize]) -> Self {
        Self::start_with(Layout { retry, ..Layout::default() }, order)
    }

    /// Starts the processes of a layout in this order.
    pub(crate) fn start_with(layout: Layout, order: &[usize]) -> Self {
        let mut site = Self::new(layout);
        order.iter().for_each(|at| site.run(*at, true));
        site
    }

    /// Failure domain of a process.
    pub(crate) fn domain(&self, at: usize) -> String {
        DOMAINS[at % self.layout.domains].to_owned()
    }

    pub(crate) fn ip(&self, at: usize) -> String {
        format!("{}.{}", self.net, at + 1)
    }

    pub(crate) fn data(&self, at: usize) -> PathBuf {
        self.folder.path().join(format!("data-{at}"))
    }

    pub(crate) fn log(&self, at: usize) -> PathBuf {
        self.folder.path().join(format!("log-{at}.jsonl"))
    }

    /// Lines of a process's log with this message.
    pub(crate) fn count(&self, at: usize, message: &str) -> usize {
        let wanted = format!("\"message\":\"{message}\"");
        fs::read_to_string(self.log(at))
            .unwrap()
            .lines()
            .filter(|line| line.contains(&wanted))
            .count()
    }

    pub(crate) fn run(&mut self, at: usize, first: bool) {
        let ip = self.ip(at);
        let seeds: Vec<String> =
            (0..CONTROLS).map(|at| format!("\"{}:{ORDERS}\"", self.ip(at))).collect();
        let role = if at < CONTROLS { "control" } else { "entry" };
        let mut settings = format!(
            "node: {{id: \"{ip}\", region: here, failure_domain: {}}}\nroles: [{role}]\n\
             interface: platform\ntrusted_network: true\nseeds: [{}]\nfirst_start: {first}\n\
             metrics: {{listen: \"{ip}:{METRICS}\"}}\n",
            self.domain(at),
            seeds.join(", ")
        );
        settings += &if at < CONTROLS {
            let data = self.data(at).display().to_string();
            format!(
                "data: \"{data}\"\nlisten: {{orders: [\"{ip}:{ORDERS}\"], links: \"{ip}:{LINKS}\"}}\n\
                 directory: {{lifetime: 2s}}\nshutdown: {{limit: 1s}}\n"
            )
        } else {
            format!(
                "listen: {{callers: \"{ip}:{FRONT}\", orders: [\"{ip}:{ORDERS}\"], links: \"{ip}:{LINKS}\", \
                 peers: \"{ip}:{PEERS}\"}}\nlimits: {limits}\nretry: {retry}\n\
                 shutdown: {shutdown}\n",
                limits = self.layout.limits,
                retry = self.layout.retry,
                shutdown = self.layout.shutdown
            )
        };
        let file = self.folder.path().join(format!("settings-{at}.yaml"));
        fs::write(&file, settings).unwrap();
        let log = File::options().create(true).append(true).open(self.log(at)).unwrap();
        let limit = self.layout.descriptors.map(|count| format!("ulimit -n {count}; "));
        let script = limit.unwrap_or_default() + "exec \"$0\" run \"$1\"";
        let mut shell = Command::new("sh");
        shell.arg("-c").arg(script).arg(binary()).arg(&file);
        let child = shell.stdout(Stdio::from(log)).spawn();
        self.children[at] = Some(child.unwrap());
    }

    /// Value of a metric of a process.
    pub(crate) fn metric(&self, at: usize, kind: &str) -> usize {
        metric(&format!("{}:{METRICS}", self.ip(at)), kind)
    }

    pub(crate) fn kill(&mut self, at: usize) {
        let mut child = self.children[at].take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    pub(crate) fn signal(&self, at: usize, name: &str) {
        let id = self.children[at].as_ref().unwrap().id().to_string();
        assert!(Command::new("kill").args(["-s", name, &id]).status().unwrap().success());
    }

    /// Whether a control takes the configuration.
    pub(crate) fn submit(&self, at: usize, number: u32) -> bool {
        let body = format!(
            r#"{{"version":"{number:x}","services":[{{"name":"hull"}}],"hosts":[{{"host":"yard.example",
            "paths":[{{"name":"look","pathPrefix":"/","routeType":"safe","service":"hull","timeoutS":2}}]}}]}}"#
        );
        self.submit_document(at, &body)
    }

    /// Whether a control takes this configuration.
    pub(crate) fn submit_document(&self, at: usize, document: &str) -> bool {
        self.order(at, "PUT /hemlockfield/config", document).0 == 200
    }

    pub(crate) fn announce(&self, upstream: &Upstream) -> bool {
        self.announce_address("i-1", &upstream.address)
    }

    /// Whether a control takes the announcement of an upstream at this address.
    pub(crate) fn announce_address(&self, id: &str, address: &str) -> bool {
        self.announce_slots(id, address, 4)
    }

    /// Whether a control takes the announcement of an upstream with this many slots.
    pub(crate) fn announce_slots(&self, id: &str, address: &str, slots: u32) -> bool {
        self.controls().iter().any(|control| announce_to(control, id, address, slots))
    }

    /// Addresses at which the controls take announcements.
    pub(crate) fn controls(&self) -> Vec<String> {
        (0..CONTROLS).map(|at| format!("{}:{ORDERS}", self.ip(at))).collect()
    }

    pub(crate) fn order(&self, at: usize, line: &str, body: &str) -> (u16, String) {
        ask(&format!("{}:{ORDERS}", self.ip(at)), line, "", body)
    }

    pub(crate) fn look(&self, entry: usize) -> (u16, String) {
        let headers = "Hemlockfield-Request-Id: 7\r\nHemlockfield-Deadline-Ms: 1500\r\n";
        ask(&format!("{}:{FRONT}", self.ip(CONTROLS + entry)), "GET /hull/1", headers, "")
    }

    /// Waits until a configuration is in force and a caller served through each entry.
    pub(crate) fn serve(&self, upstream: &Upstream, number: u32) {
        wait_for("a configuration", || (0..CONTROLS).any(|at| self.submit(at, number)));
        wait_for("the upstream", || self.announce(upstream));
        for entry in 0..ENTRIES {
            wait_for("an answer", || self.look(entry).0 == 200);
        }
    }
}

/// Whether a control takes the announcement of an upstream with this many slots.
pub(crate) fn announce_to(control: &str, id: &str, address: &str, slots: u32) -> bool {
    let body = format!(
        r#"{{"address":"{address}","sequence":1,"service":"hull","slots":{slots},"state":"ready","zone":"north"}}"#
    );
    ask(control, &format!("PUT /hemlockfield/instances/{id}"), "", &body).0 == 200
}

/// Addresses that no other site uses, also of another test process, and what keeps them.
fn claim_net() -> (String, TcpListener) {
    loop {
        let number = NETS.fetch_add(1, Ordering::Relaxed) % 200;
        let net = format!("127.{}.{number}", 16 + std::process::id() % 200);
        if let Ok(claim) = TcpListener::bind(format!("{net}.254:{CLAIM}")) {
            return (net, claim);
        }
    }
}

fn binary() -> String {
    std::env::var(BINARY_VARIABLE).unwrap_or_else(|_| BINARY.to_owned())
}

impl Drop for Site {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            child.kill().ok();
            child.wait().ok();
        }
    }
}
