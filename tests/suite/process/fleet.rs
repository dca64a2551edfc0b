//! Real processes on loopback, built like the command line.

use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use tempfile::TempDir;

const BINARY: &str = env!("CARGO_BIN_EXE_hemlockfield");
/// Far above what any event takes: a test that reaches it hangs, and is not just slow.
const HANG: Duration = Duration::from_secs(60);
const DOMAINS: [&str; 4] = ["halle-nord", "halle-sued", "keller-alt", "werft-ost"];

/// One process and where it listens.
pub(super) struct Process {
    pub(super) callers: SocketAddr,
    pub(super) child: Option<Child>,
    pub(super) id: String,
    pub(super) links: SocketAddr,
    pub(super) operators: SocketAddr,
    settings: PathBuf,
}

/// Controls, entries and upstreams, killed when dropped.
pub(super) struct Fleet {
    pub(super) controls: Vec<Process>,
    pub(super) entries: Vec<Process>,
    pub(super) folder: TempDir,
    pub(super) upstreams: Vec<Process>,
}

impl Fleet {
    /// Starts `controls` and `entries`; the controls are founded.
    pub(super) fn start(controls: usize, entries: usize) -> Self {
        let folder = TempDir::new().unwrap();
        let make = |role: &str, count: usize| -> Vec<Process> {
            (1..=count).map(|at| process(&folder, &format!("{role}-{at}"))).collect()
        };
        let controls = make("control", controls);
        let entries = make("entry", entries);
        let mut fleet = Self { controls, entries, folder, upstreams: Vec::new() };
        fleet.make_keys();
        fleet.write_settings();
        for at in 0..fleet.controls.len() {
            fleet.controls[at].run(&["--found"]);
        }
        for at in 0..fleet.entries.len() {
            fleet.entries[at].run(&[]);
        }
        fleet
    }

    /// Makes a control that no process has in its settings, and starts it on an empty
    /// folder.
    pub(super) fn add_control(&mut self, id: &str) {
        let mut control = process(&self.folder, id);
        self.make_key(id);
        let peers: Vec<String> =
            self.controls.iter().chain(&self.entries).map(Process::line).collect();
        fs::write(&control.settings, control.settings(&self.folder, &peers.join("\n"))).unwrap();
        control.run(&[]);
        self.controls.push(control);
    }

    /// Removes all that a process had on its disk.
    pub(super) fn lose_folder(&self, id: &str) {
        fs::remove_dir_all(self.folder.path().join(id)).unwrap();
    }

    fn make_keys(&self) {
        let folder = self.folder.path().join("keys").display().to_string();
        let done = hemlockfield(&["keys", "--folder", &folder, "--authority"]);
        assert!(done.status.success(), "{}", text(&done));
        for process in self.controls.iter().chain(&self.entries) {
            self.make_key(&process.id);
        }
    }

    fn make_key(&self, id: &str) {
        let folder = self.folder.path().join("keys").display().to_string();
        let done = hemlockfield(&["keys", "--folder", &folder, "--node", id]);
        assert!(done.status.success(), "{}", text(&done));
    }

    fn write_settings(&self) {
        let all: Vec<&Process> = self.controls.iter().chain(&self.entries).collect();
        for process in &all {
            let peers: Vec<String> =
                all.iter().filter(|peer| peer.id != process.id).map(|peer| peer.line()).collect();
            fs::write(&process.settings, process.settings(&self.folder, &peers.join("\n")))
                .unwrap();
        }
    }

    /// Submits rules until a control leads, and waits until they are in force everywhere.
    pub(super) fn submit(&self, number: u64, rules: &str) {
        let file = self.folder.path().join(format!("rules-{number}.yaml"));
        fs::write(&file, rules).unwrap();
        let (file, number_text) = (file.display().to_string(), number.to_string());
        let node = self.entries[0].operators.to_string();
        let id = format!("submission-{number}");
        wait_for("the submission to be accepted", || {
            let arguments =
                ["submit", "--node", &node, "--number", &number_text, "--id", &id, &file];
            hemlockfield(&arguments).status.success()
        });
        // An entry may hold a configuration and not serve by it yet: what is sent to it once
        // would be refused, and the test wait for ever for it to run.
        for entry in &self.entries {
            wait_for("the configuration to be in force", || entry.serves(number));
        }
    }

    /// Starts an upstream that announces itself, and waits until every entry may use it.
    pub(super) fn add_upstream(&mut self, name: &str, service: &str, options: &[&str]) {
        let mut process = process(&self.folder, name);
        let listen = process.callers.to_string();
        let mut arguments =
            vec!["upstream", "--name", name, "--service", service, "--listen", &listen];
        let entries: Vec<String> =
            self.entries.iter().map(|entry| entry.operators.to_string()).collect();
        for entry in &entries {
            arguments.extend(["--entry", entry]);
        }
        arguments.extend(options);
        process.child = Some(spawn(&arguments));
        self.upstreams.push(process);
        for entry in &self.entries {
            wait_for("the upstream to be usable", || entry.uses(service, name));
        }
    }
}

impl Process {
    pub(super) fn run(&mut self, options: &[&str]) {
        let settings = self.settings.display().to_string();
        let mut arguments = vec!["run", &settings];
        arguments.extend(options);
        self.child = Some(spawn(&arguments));
    }

    /// Recorded inputs of its machines.
    pub(super) fn recording(&self) -> PathBuf {
        self.settings.with_extension("record")
    }

    /// SIGKILL, as when its VM is lost.
    pub(super) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    /// Sends a signal such as `TERM`, by the process's id.
    pub(super) fn signal(&self, name: &str) {
        let id = self.child.as_ref().unwrap().id().to_string();
        let done = Command::new("kill").args([&format!("-{name}"), &id]).status().unwrap();
        assert!(done.success());
    }

    /// Waits until the process has ended by itself, and gives its exit code.
    pub(super) fn wait(&mut self) -> Option<i32> {
        let child = self.child.as_mut().unwrap();
        wait_for("the process to end", || child.try_wait().unwrap().is_some());
        let status = self.child.take().unwrap().wait().unwrap();
        status.code()
    }

    /// Whether the process answers operators and may take callers.
    pub(super) fn serves(&self, number: u64) -> bool {
        self.status().is_some_and(|status| {
            status["standing"] != "Starting" && status["configuration"]["number"] == number
        })
    }

    pub(super) fn status(&self) -> Option<Value> {
        let done = hemlockfield(&["status", "--node", &self.operators.to_string()]);
        serde_json::from_slice(&done.stdout).ok()
    }

    /// Whether the process leads control.
    pub(super) fn leads(&self) -> bool {
        self.status().is_some_and(|status| status["control"]["log"]["role"] == "Leader")
    }

    pub(super) fn uses(&self, service: &str, upstream: &str) -> bool {
        let Some(status) = self.status() else { return false };
        let Some(list) = status["services"][service].as_array() else { return false };
        list.iter().any(|each| each["upstream"] == upstream && each["usable"] == true)
    }

    fn line(&self) -> String {
        let role = if self.id.starts_with("control") { "control" } else { "entry" };
        format!(
            "  - {{id: {}, region: regensburg, failure_domain: {}, roles: [{role}], links: {}}}",
            self.id,
            self.domain(),
            self.links
        )
    }

    fn domain(&self) -> &'static str {
        let number: usize = self.id.rsplit('-').next().unwrap().parse().unwrap();
        DOMAINS[number % DOMAINS.len()]
    }

    fn settings(&self, folder: &TempDir, peers: &str) -> String {
        let role = if self.id.starts_with("control") { "control" } else { "entry" };
        let path = folder.path().display();
        let id = &self.id;
        format!(
            "node: {{id: {id}, region: regensburg, failure_domain: {}}}\n\
             roles: [{role}]\n\
             listen: {{callers: {}, operators: {}, links: {}}}\n\
             data: {path}/{id}\n\
             keys: {{authority: {path}/keys/{id}/authority.pem, \
             identity: {path}/keys/{id}/identity.pem}}\n\
             timeline: {{file: {path}/{id}.jsonl}}\n\
             record: {{file: {path}/{id}.record}}\n\
             directory: {{lifetime: 1s}}\n\
             shutdown: {{limit: 600s}}\n\
             log: {{level: warn}}\n\
             peers:\n{peers}\n",
            self.domain(),
            self.callers,
            self.operators,
            self.links,
        )
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }
}

/// Arguments of a load with lookups and sign-offs, reconciled with what the upstreams ran.
pub(super) fn load(fleet: &Fleet, seconds: &str) -> Vec<String> {
    let kinds = ["lookup:3:GET:register/hulls/1:0:2000", "sign-off:1:POST:register/findings/1:300"];
    let mut arguments: Vec<String> =
        ["load", "--rate", "60", "--seconds", seconds, "--resend"].map(Into::into).into();
    for kind in kinds {
        arguments.extend(["--kind".to_owned(), kind.to_owned()]);
    }
    for entry in &fleet.entries {
        arguments.extend(["--entry".to_owned(), entry.callers.to_string()]);
    }
    for upstream in &fleet.upstreams {
        arguments.extend(["--upstream".to_owned(), upstream.callers.to_string()]);
    }
    arguments
}

/// Sends one request and gives the whole answer, its head included; empty if there is none.
pub(super) fn ask(address: SocketAddr, line: &str, headers: &str) -> String {
    let mut answer = Vec::new();
    let asked = TcpStream::connect(address).and_then(|mut stream| {
        let text =
            format!("{line} HTTP/1.1\r\nhost: register\r\nconnection: close\r\n{headers}\r\n");
        stream.write_all(text.as_bytes())?;
        stream.read_to_end(&mut answer)
    });
    drop(asked);
    String::from_utf8_lossy(&answer).into_owned()
}

/// Counts of a stand-in: requests begun, and runs by key.
pub(super) fn runs(upstream: &Process) -> Value {
    let answer = ask(upstream.callers, "GET /_runs", "");
    let body = answer.split("\r\n\r\n").nth(1).unwrap_or_default();
    serde_json::from_str(body).unwrap()
}

/// Runs a command to its end.
pub(super) fn hemlockfield(arguments: &[&str]) -> Output {
    Command::new(BINARY).args(arguments).output().unwrap()
}

pub(super) fn text(output: &Output) -> String {
    let out = String::from_utf8_lossy(&output.stdout);
    let error = String::from_utf8_lossy(&output.stderr);
    format!("{out}{error}")
}

/// Waits for an event, however long it takes short of a hang.
pub(crate) fn wait_for(what: &str, mut happened: impl FnMut() -> bool) {
    wait_for_ok(what, || happened().then_some(()).ok_or_else(String::new));
}

/// Waits until `check` succeeds; a hang tells what was missing last.
pub(crate) fn wait_for_ok(what: &str, mut check: impl FnMut() -> Result<(), String>) {
    let started = Instant::now();
    while let Err(missing) = check() {
        assert!(started.elapsed() < HANG, "hung: waiting for {what} {missing}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn spawn(arguments: &[&str]) -> Child {
    Command::new(BINARY).args(arguments).stdout(Stdio::null()).spawn().unwrap()
}

fn process(folder: &TempDir, id: &str) -> Process {
    Process {
        callers: free_port(),
        child: None,
        id: id.to_owned(),
        links: free_port(),
        operators: free_port(),
        settings: folder.path().join(format!("{id}.yaml")),
    }
}

/// Ports below those that the system gives to outgoing connections. One of these, free a
/// moment ago, may be somebody's connection by the time that a process wants to listen.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);
const FIRST_PORT: u16 = 10_000;
const PORTS: u16 = 20_000;

/// A port that nobody has, for TCP and UDP alike, and that no other test gets.
fn free_port() -> SocketAddr {
    let offset = u16::try_from(std::process::id() % 100).unwrap() * 200;
    loop {
        let next = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (offset + next) % PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
