//! Parts that the cases share: the project's processes on loopback addresses of their own, a proxy
//! on each path between two of them, servers that follow PROTOCOL.md, and HTTP calls. Only the
//! standard library is used.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

const BINARY: &str = "target/release/hemlockfield";
const FRONT: u16 = 18_144;
const READY: u16 = 18_140;
const CONTROL: u16 = 18_146;
const DIRECTORY: u16 = 18_143;
const PEERS: u16 = 18_175;
const METRICS: u16 = 18_464;
const LINKS: u16 = 18_200;
const TARGET: u16 = 18_080;
const CLAIM: u16 = 18_999;
/// Requests that a server works on at once, and that wait in its queue.
const SLOTS: usize = 4;
const QUEUE: usize = 4;
/// A script may take 120 s.
const LONGEST_RUN: Duration = Duration::from_secs(110);

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Whether the disruption is to take place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// A new id of a request.
pub fn next_id() -> String {
    format!("{:016x}", 0x5eed_0000_0000 + NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

/// Record of what was sent, answered and run.
#[derive(Clone)]
pub struct Log {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Log {
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let now = self.now();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{now:8.3} {text}").ok();
    }

    /// A line of the record that is also printed.
    pub fn say(&self, text: &str) {
        println!("{:8.3} {text}", self.now());
        self.line(text);
    }
}

/// Runs a case: exits with its result, and ends all that it started.
pub fn main(folder: &str, case: fn(&Arc<Fleet>) -> i32, layout: Layout) {
    let record = PathBuf::from(folder).join("record.txt");
    let Ok(file) = File::create(&record) else { std::process::exit(NOT_RUN) };
    let log = Log { started: Instant::now(), file: Arc::new(Mutex::new(file)) };
    let Some(fleet) = Fleet::new(layout, log) else { std::process::exit(NOT_RUN) };
    let fleet = Arc::new(fleet);
    let watched = Arc::clone(&fleet);
    thread::spawn(move || {
        thread::sleep(LONGEST_RUN);
        watched.log.say("the script took too long");
        watched.end();
        std::process::exit(NOT_RUN);
    });
    let trouble = if has_trouble() { "with" } else { "without" };
    fleet.log.say(&format!("started {trouble} the disruption"));
    let run = std::panic::AssertUnwindSafe(|| case(&fleet));
    let code = std::panic::catch_unwind(run).unwrap_or(NOT_RUN);
    let word = match code {
        HELD => "the rule held",
        BROKEN => "THE RULE WAS BROKEN",
        _ => "the case could not run",
    };
    fleet.log.say(&format!("result: {word} (exit {code})"));
    fleet.end();
    std::process::exit(code);
}

/// Number of controls and entries, and a part of the settings that differs between cases.
#[derive(Clone, Copy)]
pub struct Layout {
    pub controls: usize,
    pub entries: usize,
}

/// Controls first, then entries. The id of each is its address.
pub struct Fleet {
    pub log: Log,
    pub layout: Layout,
    net: String,
    folder: PathBuf,
    children: Mutex<Vec<Option<Child>>>,
    mesh: Mesh,
    /// Keeps other runs away from the addresses.
    _claim: TcpListener,
}

impl Fleet {
    fn new(layout: Layout, log: Log) -> Option<Self> {
        let first = std::process::id() as usize;
        let nets = (first..first + 500).map(|at| format!("127.{}.{}", 20 + at / 200 % 200, at % 200));
        let (net, claim) =
            nets.into_iter().find_map(|net| Some((net.clone(), TcpListener::bind(format!("{net}.254:{CLAIM}")).ok()?)))?;
        let folder = std::env::temp_dir().join(format!("hemlockfield-review-{first}"));
        fs::create_dir_all(&folder).ok()?;
        let count = layout.controls + layout.entries;
        let mesh = Mesh::start(&net, count);
        let children = Mutex::new((0..count).map(|_| None).collect());
        Some(Self { log, layout, net, folder, children, mesh, _claim: claim })
    }

    pub fn ip(&self, at: usize) -> String {
        format!("{}.{}", self.net, at + 1)
    }

    pub fn control(&self, at: usize) -> String {
        format!("{}:{CONTROL}", self.ip(at))
    }

    pub fn directory(&self, at: usize) -> String {
        format!("{}:{DIRECTORY}", self.ip(at))
    }

    pub fn front(&self, entry: usize) -> String {
        format!("{}:{FRONT}", self.ip(self.layout.controls + entry))
    }

    pub fn ready(&self, entry: usize) -> String {
        format!("{}:{READY}", self.ip(self.layout.controls + entry))
    }

    /// Address of a server; each has its own.
    pub fn target(&self, at: usize) -> String {
        format!("{}.{}:{TARGET}", self.net, 101 + at)
    }

    /// Path of the log of a process.
    pub fn process_log(&self, at: usize) -> PathBuf {
        self.folder.join(format!("log-{at}.jsonl"))
    }

    pub fn start_all(&self) {
        (0..self.layout.controls + self.layout.entries).for_each(|at| self.start(at, true));
    }

    /// Starts a process with the settings that the templates of the deploy file give.
    pub fn start(&self, at: usize, first: bool) {
        let ip = self.ip(at);
        let seeds: Vec<String> =
            (0..self.layout.controls.min(3)).map(|at| format!("\"{}\"", self.control(at))).collect();
        let seeds = seeds.join(",");
        let is_control = at < self.layout.controls;
        let role = if is_control { "control" } else { "entry" };
        let links = LINKS + at as u16;
        let mut text = format!(
            "node: {{id: \"{ip}\", region: \"here\", failure_domain: \"north\"}}\nroles: [{role}]\n\
             interface: platform\ntrusted_network: true\nseeds: [{seeds}]\nfirst_start: {first}\n"
        );
        text += &if is_control {
            let data = self.folder.join(format!("data-{at}"));
            format!(
                "data: \"{}\"\nlisten:\n  orders: [\"{ip}:{CONTROL}\", \"{ip}:{DIRECTORY}\"]\n  links: \"{ip}:{links}\"\n\
                 directory: {{lifetime: \"5s\"}}\nshutdown: {{limit: 1s}}\ntraffic: {{threads: 1}}\n",
                data.display()
            )
        } else {
            format!(
                "listen:\n  callers: \"{ip}:{FRONT}\"\n  orders: [\"{ip}:{READY}\", \"{ip}:{DIRECTORY}\"]\n  \
                 links: \"{ip}:{links}\"\n  peers: \"{ip}:{PEERS}\"\n\
                 limits:\n  body_buffer: 512KiB\n  connect: 250ms\n  link: \"1000\"\n  processor: \"0.2\"\n  \
                 proven: 1500ms\n  upstream_idle: 8s\n\
                 retry: {{share: \"0.2\", burst: \"62\", pooled: true, window: \"10s\"}}\n\
                 directory: {{lifetime: \"5s\"}}\nshutdown: {{grace: \"6s\"}}\ntraffic: {{threads: 1, local: true}}\n"
            )
        };
        text += &format!("metrics: {{listen: \"{ip}:{METRICS}\"}}\n");
        let file = self.folder.join(format!("settings-{at}.yaml"));
        fs::write(&file, text).unwrap();
        let out = File::options().create(true).append(true).open(self.process_log(at)).unwrap();
        let errors = out.try_clone().unwrap();
        // A group of its own: if the caller's group is orphaned, the system continues what is stopped in it.
        let child = Command::new(BINARY)
            .process_group(0)
            .arg("run")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::from(out))
            .stderr(Stdio::from(errors))
            .spawn()
            .unwrap();
        self.log.line(&format!("started {role} {at}"));
        self.children.lock().unwrap()[at] = Some(child);
    }

    pub fn kill(&self, at: usize) {
        let child = self.children.lock().unwrap()[at].take();
        if let Some(mut child) = child {
            child.kill().ok();
            child.wait().ok();
            self.log.say(&format!("killed process {at}"));
        }
    }

    /// Sends a signal by its name to a process of this run.
    pub fn signal(&self, at: usize, name: &str) {
        let id = self.children.lock().unwrap()[at].as_ref().map(Child::id);
        if let Some(id) = id {
            let sent = Command::new("kill").args(["-s", name, &id.to_string()]).status();
            let state = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
            let state = state.rsplit(") ").next().and_then(|rest| rest.chars().next());
            self.log.say(&format!("SIG{name} to process {at}: {sent:?}, state {state:?}"));
        }
    }

    /// A control that does not lead, by the logs.
    pub fn follower(&self) -> Option<usize> {
        let is_leader = |at: usize| {
            let text = fs::read_to_string(self.process_log(at)).unwrap_or_default();
            let last = text.lines().filter(|line| line.contains("election")).next_back();
            last.is_some_and(|line| line.contains("Leader"))
        };
        let leaders: Vec<usize> = (0..self.layout.controls).filter(|at| is_leader(*at)).collect();
        self.log.say(&format!("leading controls by their logs: {leaders:?}"));
        (0..self.layout.controls).find(|at| !leaders.contains(at)).filter(|_| leaders.len() == 1)
    }

    /// Cuts or joins the path between two processes, both ways.
    pub fn set_cut(&self, one: usize, other: usize, is_cut: bool) {
        self.mesh.set_cut(one, other, is_cut);
        self.mesh.set_cut(other, one, is_cut);
    }

    /// Sends a configuration to a control; returns the status.
    pub fn submit(&self, control: usize, document: &str) -> u16 {
        let answer = call(&self.control(control), "PUT", "/hemlockfield/config", "", document.as_bytes(), 2.0);
        self.log.line(&format!("configuration to control {control}: {}", answer.status));
        answer.status
    }

    /// Submits a configuration until a control acknowledges it.
    pub fn submit_until_acknowledged(&self, document: &str) {
        self.wait("a configuration", || (0..self.layout.controls).any(|at| self.submit(at, document) == 200));
    }

    /// Waits for at most 20 s.
    pub fn wait(&self, what: &str, mut is_there: impl FnMut() -> bool) {
        for _ in 0..200 {
            if is_there() {
                return;
            }
            thread::sleep(Duration::from_millis(100));
        }
        self.log.say(&format!("waited in vain for {what}"));
        panic!("no {what}");
    }

    pub fn end(&self) {
        for child in self.children.lock().unwrap().iter_mut().flatten() {
            // A stopped process takes no other signal than this one.
            child.kill().ok();
            child.wait().ok();
        }
        if std::env::var("KEEP").is_err() {
            fs::remove_dir_all(&self.folder).ok();
        } else {
            println!("kept {}", self.folder.display());
        }
    }
}

/// Proxies between the processes. Each process listens for the others at a port of its own and dials
/// that port at the others' addresses, where a proxy of this pair hands its bytes on.
struct Mesh {
    cut: BTreeMap<(usize, usize), Arc<AtomicBool>>,
}

impl Mesh {
    fn start(net: &str, count: usize) -> Self {
        let mut cut = BTreeMap::new();
        for from in 0..count {
            for to in (0..count).filter(|to| *to != from) {
                cut.insert((from, to), Arc::new(AtomicBool::new(false)));
            }
        }
        for from in 0..count {
            for to in (0..count).filter(|to| *to != from) {
                let ip = format!("{net}.{}", to + 1);
                let listener = TcpListener::bind(format!("{ip}:{}", LINKS + from as u16)).unwrap();
                let onward = format!("{ip}:{}", LINKS + to as u16);
                let ways = [Arc::clone(&cut[&(from, to)]), Arc::clone(&cut[&(to, from)])];
                thread::spawn(move || accept_links(&listener, &onward, &ways));
            }
        }
        Self { cut }
    }

    fn set_cut(&self, from: usize, to: usize, is_cut: bool) {
        if let Some(flag) = self.cut.get(&(from, to)) {
            flag.store(is_cut, Ordering::Release);
        }
    }
}

fn accept_links(listener: &TcpListener, onward: &str, ways: &[Arc<AtomicBool>; 2]) {
    for stream in listener.incoming().flatten() {
        let (onward, ways) = (onward.to_owned(), ways.clone());
        thread::spawn(move || {
            wait_while(&ways[0]);
            wait_while(&ways[1]);
            let Ok(other) = TcpStream::connect(&onward) else { return };
            stream.set_nodelay(true).ok();
            other.set_nodelay(true).ok();
            let pairs = [
                (stream.try_clone(), other.try_clone(), Arc::clone(&ways[0])),
                (Ok(other), Ok(stream), Arc::clone(&ways[1])),
            ];
            for (from, to, way) in pairs {
                let (Ok(from), Ok(to)) = (from, to) else { continue };
                thread::spawn(move || hand_on(&from, &to, &way));
            }
        });
    }
}

/// Hands bytes on; holds them while the way is cut.
fn hand_on(mut from: &TcpStream, mut to: &TcpStream, way: &AtomicBool) {
    let mut bytes = [0; 16_384];
    while let Ok(count @ 1..) = from.read(&mut bytes) {
        wait_while(way);
        if to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    wait_while(way);
    from.shutdown(std::net::Shutdown::Both).ok();
    to.shutdown(std::net::Shutdown::Both).ok();
}

fn wait_while(way: &AtomicBool) {
    while way.load(Ordering::Acquire) {
        thread::sleep(Duration::from_millis(5));
    }
}

/// A path to an address that holds what is sent on it for some time.
pub struct Detour {
    pub address: String,
    holds: Arc<AtomicBool>,
}

impl Detour {
    pub fn start(onward: &str, holds: bool) -> Self {
        let listener = TcpListener::bind(onward.rsplit_once(':').unwrap().0.to_owned() + ":0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let holds = Arc::new(AtomicBool::new(holds));
        let (onward, way) = (onward.to_owned(), Arc::clone(&holds));
        thread::spawn(move || accept_links(&listener, &onward, &[Arc::clone(&way), way]));
        Self { address, holds }
    }

    pub fn release(&self) {
        self.holds.store(false, Ordering::Release);
    }
}

/// A request that a server began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: f64,
    pub id: String,
    pub line: String,
    pub body: usize,
}

/// A server that follows PROTOCOL.md. It takes part in service discovery while `beats` is set.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub name: &'static str,
    pub service: &'static str,
    pub address: String,
    pub runs: Arc<Mutex<Vec<Run>>>,
    born: u64,
    is_alive: Arc<AtomicBool>,
    beats: Arc<AtomicBool>,
    sequence: Arc<AtomicU64>,
    log: Log,
    /// Requests that it works on, and that wait for one of its slots.
    load: Arc<(Mutex<(usize, usize)>, Condvar)>,
    work: Duration,
}

impl Server {
    /// Starts a server that serves, but does not report itself yet.
    pub fn start(fleet: &Fleet, name: &'static str, id: &str, service: &'static str, at: usize, work_ms: u64) -> Self {
        let address = fleet.target(at);
        let listener = listen(&address);
        let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
        let server = Self {
            id: id.to_owned(),
            name,
            service,
            address,
            runs: Arc::default(),
            born: born.as_millis() as u64,
            is_alive: Arc::new(AtomicBool::new(true)),
            beats: Arc::new(AtomicBool::new(false)),
            sequence: Arc::new(AtomicU64::new(0)),
            log: fleet.log.clone(),
            load: Arc::default(),
            work: Duration::from_millis(work_ms),
        };
        let own = server.clone();
        thread::spawn(move || {
            listener.set_nonblocking(true).ok();
            while own.is_alive.load(Ordering::Acquire) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let own = own.clone();
                        stream.set_nonblocking(false).ok();
                        thread::spawn(move || own.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        server.log.say(&format!("{name} starts as {id} at {}", server.address));
        server
    }

    /// Body of its next call.
    fn report(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::AcqRel) + 1;
        format!(
            r#"{{"service":"{}","address":"{}","zone":"north","version":"v1","slots":4,"state":"{state}","coldRemainingS":0,"sequence":{sequence},"born":{}}}"#,
            self.service, self.address, self.born
        )
    }

    /// Sends one ping to the controls in this order, until one acknowledges; returns its number.
    pub fn ping(&self, fleet: &Fleet, state: &str, controls: &[usize]) -> Option<usize> {
        let body = self.report(state);
        let path = format!("/hemlockfield/instances/{}", self.id);
        controls.iter().copied().find(|at| {
            let answer = call(&fleet.control(*at), "PUT", &path, "", body.as_bytes(), 1.0);
            self.log.line(&format!("{} {state} to control {at}: {}", self.name, answer.status));
            answer.status / 100 == 2
        })
    }

    /// Sends one ping to an address; whether it was acknowledged within a second.
    pub fn ping_address(&self, address: &str, state: &str) -> bool {
        let body = self.report(state);
        let path = format!("/hemlockfield/instances/{}", self.id);
        let answer = call(address, "PUT", &path, "", body.as_bytes(), 1.0);
        self.log.say(&format!("{} {state}: {}", self.name, answer.status));
        answer.status / 100 == 2
    }

    /// Says that it leaves.
    pub fn leave(&self, fleet: &Fleet, controls: &[usize]) -> Option<usize> {
        let path = format!("/hemlockfield/instances/{}", self.id);
        controls.iter().copied().find(|at| {
            let answer = call(&fleet.control(*at), "DELETE", &path, "", b"", 1.0);
            self.log.say(&format!("{} DELETE to control {at}: {}", self.name, answer.status));
            answer.status / 100 == 2
        })
    }

    /// Pings every 1.5 s from now on, the controls in this order.
    pub fn beat(&self, fleet: &Arc<Fleet>, controls: &'static [usize]) {
        self.beats.store(true, Ordering::Release);
        let (own, fleet) = (self.clone(), Arc::clone(fleet));
        thread::spawn(move || {
            while own.beats.load(Ordering::Acquire) {
                own.ping(&fleet, "ready", controls);
                thread::sleep(Duration::from_millis(1500));
            }
        });
    }

    pub fn stop_beats(&self) {
        self.beats.store(false, Ordering::Release);
    }

    /// Ends the server: it closes its port and its connections.
    pub fn exit(&self) {
        self.stop_beats();
        self.is_alive.store(false, Ordering::Release);
        self.log.say(&format!("{} exits", self.name));
    }

    pub fn count(&self) -> usize {
        self.runs.lock().unwrap().len()
    }

    /// Requests that it began within this span of time.
    pub fn between(&self, from: f64, to: f64) -> Vec<Run> {
        let runs = self.runs.lock().unwrap();
        runs.iter().filter(|run| run.at >= from && run.at < to).cloned().collect()
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        stream.set_read_timeout(Some(Duration::from_secs(10))).ok();
        let mut reader = BufReader::new(stream);
        while self.is_alive.load(Ordering::Acquire) {
            let Some(head) = Head::read(&mut reader) else { return };
            if !self.is_alive.load(Ordering::Acquire) {
                return;
            }
            let Some(body) = head.read_body(&mut reader) else { return };
            if !self.is_alive.load(Ordering::Acquire) {
                return;
            }
            let answer = self.answer(&head, body.len());
            if !self.is_alive.load(Ordering::Acquire) {
                self.log.line(&format!("{} ended at work on {}", self.name, head.line));
                return;
            }
            if reader.get_mut().write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Waits for a slot; `false` if too many wait already.
    fn take_slot(&self) -> bool {
        let (load, freed) = &*self.load;
        let mut load = load.lock().unwrap();
        if load.0 >= SLOTS && load.1 >= QUEUE {
            return false;
        }
        load.1 += 1;
        while load.0 >= SLOTS {
            load = freed.wait(load).unwrap();
        }
        load.1 -= 1;
        load.0 += 1;
        true
    }

    fn give_slot(&self) {
        let (load, freed) = &*self.load;
        load.lock().unwrap().0 -= 1;
        freed.notify_one();
    }

    fn answer(&self, head: &Head, body: usize) -> String {
        let id = head.get("hemlockfield-request-id").unwrap_or_default();
        if head.line.starts_with("GET /health ") {
            return format!(
                "HTTP/1.1 200 OK\r\nHemlockfield-Instance-Id: {}\r\ncontent-length: 0\r\n\r\n",
                self.id
            );
        }
        if head.get("hemlockfield-expected-instance").is_some_and(|wanted| wanted != self.id) {
            self.log.line(&format!("{} rejects {id}: 421", self.name));
            return format!(
                "HTTP/1.1 421 Misdirected\r\nHemlockfield-Not-Executed: 1\r\n\
                 Hemlockfield-Request-Id: {id}\r\ncontent-length: 0\r\n\r\n"
            );
        }
        if !self.take_slot() {
            self.log.line(&format!("{} rejects {id}: 503, full", self.name));
            return format!(
                "HTTP/1.1 503 Service Unavailable\r\nHemlockfield-Not-Executed: 1\r\n\
                 Hemlockfield-Request-Id: {id}\r\ncontent-length: 0\r\n\r\n"
            );
        }
        let run = Run { at: self.log.now(), id: id.clone(), line: head.line.clone(), body };
        self.log.line(&format!("{} runs {id} {} ({body} bytes)", self.name, head.line));
        self.runs.lock().unwrap().push(run);
        thread::sleep(self.work);
        self.give_slot();
        let text = format!("{} did {id}", self.name);
        format!(
            "HTTP/1.1 200 OK\r\nHemlockfield-Request-Id: {id}\r\nHemlockfield-Response-Signature: s-{id}\r\n\
             Keep-Alive: timeout=10\r\ncontent-length: {}\r\n\r\n{text}",
            text.len()
        )
    }
}

/// Listens at an address that a server may have left a moment ago.
fn listen(address: &str) -> TcpListener {
    for _ in 0..100 {
        if let Ok(listener) = TcpListener::bind(address) {
            return listener;
        }
        thread::sleep(Duration::from_millis(50));
    }
    panic!("{address} is taken");
}

/// Head of a message.
pub struct Head {
    pub line: String,
    headers: Vec<(String, String)>,
}

impl Head {
    pub fn read(reader: &mut impl BufRead) -> Option<Self> {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let mut headers = Vec::new();
        loop {
            let mut text = String::new();
            if reader.read_line(&mut text).ok()? == 0 {
                return None;
            }
            if text.trim().is_empty() {
                break;
            }
            let (name, value) = text.split_once(':')?;
            headers.push((name.trim().to_lowercase(), value.trim().to_owned()));
        }
        Some(Self { line: line.trim().to_owned(), headers })
    }

    pub fn get(&self, name: &str) -> Option<String> {
        self.headers.iter().find(|(other, _)| other == name).map(|(_, value)| value.clone())
    }

    /// Body by its length or in chunks; `None` if it breaks off.
    pub fn read_body(&self, reader: &mut impl BufRead) -> Option<Vec<u8>> {
        if self.get("transfer-encoding").is_some() {
            let mut body = Vec::new();
            loop {
                let mut line = String::new();
                reader.read_line(&mut line).ok()?;
                let size = usize::from_str_radix(line.trim(), 16).ok()?;
                let mut chunk = vec![0; size + 2];
                reader.read_exact(&mut chunk).ok()?;
                if size == 0 {
                    return Some(body);
                }
                body.extend_from_slice(&chunk[..size]);
            }
        }
        let length = self.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        Some(body)
    }
}

/// Answer to a call; status 0 where there is none.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub signature: Option<String>,
    pub body: String,
}

/// Makes one call on a new connection.
pub fn call(address: &str, method: &str, path: &str, headers: &str, body: &[u8], limit_s: f64) -> Answer {
    call_slowly(address, method, path, headers, body, 1, 0.0, limit_s)
}

/// As [`call`], with the body in this many parts of the same length, sent over a span of time.
#[allow(clippy::too_many_arguments)]
pub fn call_slowly(
    address: &str,
    method: &str,
    path: &str,
    headers: &str,
    body: &[u8],
    parts: usize,
    span_s: f64,
    limit_s: f64,
) -> Answer {
    let attempt = || -> Option<Answer> {
        let socket: SocketAddr = address.parse().ok()?;
        let limit = Duration::from_secs_f64(limit_s);
        let mut stream = TcpStream::connect_timeout(&socket, limit.min(Duration::from_secs(1))).ok()?;
        stream.set_nodelay(true).ok();
        stream.set_read_timeout(Some(limit)).ok()?;
        stream.set_write_timeout(Some(limit)).ok()?;
        let host = if headers.to_lowercase().contains("host:") { "" } else { "Host: yard.example\r\n" };
        let head = format!(
            "{method} {path} HTTP/1.1\r\n{host}Connection: close\r\nContent-Length: {}\r\n{headers}\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).ok()?;
        let size = body.len().div_ceil(parts.max(1)).max(1);
        for (at, part) in body.chunks(size).enumerate() {
            if at > 0 {
                thread::sleep(Duration::from_secs_f64(span_s / (parts - 1).max(1) as f64));
            }
            stream.write_all(part).ok()?;
        }
        let mut reader = BufReader::new(stream);
        let head = Head::read(&mut reader)?;
        let status = head.line.split(' ').nth(1)?.parse().ok()?;
        let body = head.read_body(&mut reader).unwrap_or_default();
        Some(Answer {
            status,
            signature: head.get("hemlockfield-response-signature"),
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    };
    attempt().unwrap_or_default()
}

/// Headers of a request with this id that waits so long.
pub fn request_headers(id: &str, deadline_ms: u64) -> String {
    format!("Hemlockfield-Request-Id: {id}\r\nHemlockfield-Deadline-Ms: {deadline_ms}\r\n")
}
