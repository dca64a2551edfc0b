//! Stand-ins of the platform, of servers and of clients for the scripts of this review, and the scripts'
//! schedules. Standard library only: `review/build-2.sh` compiles it with `rustc`.
//!
//! `stand-ins-2 CASE FOLDER` plays a case in the root of the repository and writes `FOLDER/record.txt`.
//! It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. `TROUBLE=0` leaves
//! the disruption out.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::fs;
use std::fs::File;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

const BINARY: &str = "target/release/hemlockfield";
/// A script may run for 120 s.
const LONGEST: Duration = Duration::from_secs(112);

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setrlimit(resource: i32, limits: *const [u64; 2]) -> i32;
}

const RLIMIT_NOFILE: i32 = 7;
/// Descriptors of a process: `limits.maxFds` of the site.
const MAX_FDS: u64 = 4_100;

const SIGKILL: i32 = 9;

static RECORD: OnceLock<Mutex<(Instant, File)>> = OnceLock::new();
static PIDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Seconds since the start of the case.
fn at() -> f64 {
    RECORD.get().map_or(0.0, |record| record.lock().unwrap().0.elapsed().as_secs_f64())
}

fn record(text: &str) {
    let Some(record) = RECORD.get() else { return };
    let mut record = record.lock().unwrap();
    let at = record.0.elapsed().as_secs_f64();
    writeln!(record.1, "{at:8.3} {text}").ok();
}

macro_rules! note { ($($arg:tt)*) => { record(&format!($($arg)*)) } }

/// Ends all processes that were started, and lets none start any more.
fn end_all() {
    let mut pids = PIDS.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    for pid in pids.drain(..) {
        unsafe { kill(pid as i32, SIGKILL) };
    }
    std::mem::forget(pids);
}

fn finish(code: i32, why: &str) -> ! {
    note!("result {code}: {why}");
    println!("{why}");
    end_all();
    if let Some(folder) = FOLDER.get() {
        fs::remove_dir_all(folder).ok();
    }
    std::process::exit(code)
}

static FOLDER: OnceLock<PathBuf> = OnceLock::new();

fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

// ---- HTTP -------------------------------------------------------------------------------------------

#[derive(Clone, Debug, Default)]
struct Message {
    first: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
    /// Whether it ended where it said that it would.
    whole: bool,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }
}

/// A connection with the bytes that were read and not used.
struct Wire {
    stream: TcpStream,
    rest: Vec<u8>,
}

impl Wire {
    fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self { stream, rest: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.rest.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = self.rest.windows(4).position(|part| part == b"\r\n\r\n") {
                break end;
            }
            match self.fill() {
                Ok(0) if self.rest.is_empty() => return Ok(None),
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(_) => (),
                Err(error) => return Err(error),
            }
        };
        let head: Vec<u8> = self.rest.drain(..end + 4).collect();
        let text = String::from_utf8_lossy(&head).into_owned();
        let mut lines = text.split("\r\n").filter(|line| !line.is_empty());
        let first = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(key, value)| (key.to_owned(), value.trim().to_owned()));
        Ok(Some(Message { first, headers: headers.collect(), ..Message::default() }))
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.rest.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.rest.drain(..count).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.rest.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.rest.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim().to_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body that a head announces. `Err` leaves what came in the message.
    fn read_body(&mut self, message: &mut Message) -> io::Result<()> {
        let chunked = message.header("transfer-encoding").is_some_and(|it| it.contains("chunked"));
        if chunked {
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.split(';').next().unwrap_or("0").trim(), 16);
                let size = size.map_err(io::Error::other)?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    break;
                }
                let part = self.take(size)?;
                message.body.extend(part);
                self.line()?;
            }
        } else if let Some(length) = message.header("content-length") {
            let length: usize = length.parse().map_err(io::Error::other)?;
            while message.body.len() < length {
                if self.rest.is_empty() && self.fill()? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                let count = self.rest.len().min(length - message.body.len());
                message.body.extend(self.rest.drain(..count));
            }
        } else if message.first.starts_with("HTTP/") && !matches!(message.status(), 204 | 304) {
            while self.fill()? > 0 {}
            message.body.append(&mut self.rest);
        }
        message.whole = true;
        Ok(())
    }
}

fn connect(address: &str, limit: Duration) -> io::Result<TcpStream> {
    let address = address.parse().map_err(io::Error::other)?;
    TcpStream::connect_timeout(&address, limit)
}

/// One request on a connection of its own; an error if no whole answer came within `limit`.
fn call(
    address: &str,
    first: &str,
    headers: &str,
    body: &str,
    limit: Duration,
) -> io::Result<Message> {
    let ends = Instant::now() + limit;
    let mut wire = Wire::new(connect(address, limit)?);
    wire.stream.set_read_timeout(Some(limit))?;
    let length = body.len();
    let text = format!(
        "{first} HTTP/1.1\r\nHost: {HOST}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\
         Connection: close\r\n{headers}\r\n{body}"
    );
    wire.stream.write_all(text.as_bytes())?;
    let left = ends.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    wire.stream.set_read_timeout(Some(left))?;
    let mut message = wire.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    wire.read_body(&mut message)?;
    Ok(message)
}

// ---- The site ---------------------------------------------------------------------------------------

const HOST: &str = "ficu95.example";
const ZONES: [&str; 4] = ["halle-nord", "halle-sued", "keller-alt", "werft-ost"];
/// Bounds of the site `dwk-gateway`.
const BOUNDS: [(&str, &str); 3] =
    [("retryBudgetRatio", "0.2"), ("retryBudgetExtra", "62"), ("budgetWindowS", "10")];
const DRAIN_S: f64 = 2.0;
const GRACE_S: f64 = 6.0;
const TOUCH_S: f64 = 3.0;
const CONFIG_APPLY_S: f64 = 2.0;

struct Site {
    controls: usize,
    /// Whether the site's bounds have those of usage caps.
    has_tenants: bool,
    processes: Vec<Option<Child>>,
    net: String,
    port: u16,
}

impl Site {
    /// Starts a small deployment by the templates of the deploy file, and waits until every entry is ready.
    fn start(controls: usize, entries: usize) -> Self {
        Self::start_with(controls, entries, false)
    }

    fn start_with(controls: usize, entries: usize, has_tenants: bool) -> Self {
        let (net, port) = free_net(controls + entries);
        let mut site = Self { controls, has_tenants, processes: Vec::new(), net, port };
        for index in 0..controls + entries {
            site.processes.push(None);
            site.run(index, true);
        }
        site
    }

    fn ip(&self, index: usize) -> String {
        format!("{}.{}", self.net, index + 1)
    }

    fn front(&self, entry: usize) -> String {
        format!("{}:{}", self.ip(self.controls + entry), self.port)
    }

    fn ready(&self, entry: usize) -> String {
        format!("{}:{}", self.ip(self.controls + entry), self.port + 1)
    }

    fn control(&self, index: usize) -> String {
        format!("{}:{}", self.ip(index), self.port + 2)
    }

    fn control_addresses(&self) -> Vec<String> {
        (0..self.controls).map(|index| self.control(index)).collect()
    }

    fn run(&mut self, index: usize, first: bool) {
        let folder = FOLDER.get().unwrap();
        let ip = self.ip(index);
        let is_control = index < self.controls;
        let template = if is_control { "deploy/control.yaml" } else { "deploy/entry.yaml" };
        let Ok(mut text) = fs::read_to_string(template) else { finish(2, "no template") };
        let seeds = (0..self.controls.min(3)).map(|at| format!("\"{}\"", self.control(at)));
        let seeds = seeds.collect::<Vec<_>>().join(",");
        text = section(&text, "seeds", Some(&seeds));
        let quota = "quota: {overage: \"0.1\", tolerance: \"20\", window: \"5s\"}";
        text = section(&text, "bounds.quotaWindowS", self.has_tenants.then_some(quota));
        let port = self.port;
        let data = folder.join(format!("data-{index}"));
        let mut fields: BTreeMap<String, String> = BTreeMap::new();
        let mut set = |key: &str, value: String| fields.insert(key.to_owned(), value);
        set("ip", ip.clone());
        set("region", "regensburg".to_owned());
        set("zone", ZONES[index % ZONES.len()].to_owned());
        set("firstStart", first.to_string());
        set("dataDir", data.display().to_string());
        set("listen.front", format!("{ip}:{port}"));
        set("listen.ready", format!("{ip}:{}", port + 1));
        set("listen.control", format!("{ip}:{}", port + 2));
        set("listen.directory", format!("{ip}:{}", port + 3));
        set("internalPorts.0", (port + 4).to_string());
        set("internalPorts.1", (port + 5).to_string());
        set("limits.linkMbps", "1000.0".to_owned());
        set("limits.cpuShare", "0.2".to_owned());
        set("bounds.graceS", GRACE_S.to_string());
        set("bounds.ttl_max_s", "5".to_owned());
        BOUNDS.iter().for_each(|(key, value)| {
            set(&format!("bounds.{key}"), (*value).to_owned());
        });
        for (key, value) in &fields {
            text = text.replace(&format!("{{{{{key}}}}}"), value);
        }
        if text.contains("{{") {
            finish(2, &format!("the template asks for more: {text}"));
        }
        let settings = folder.join(format!("settings-{index}.conf"));
        fs::write(&settings, text).unwrap();
        let log =
            File::options().create(true).append(true).open(folder.join(format!("log-{index}.txt")));
        let log = log.unwrap();
        let mut command = Command::new(BINARY);
        command.arg("run").arg(&settings).stdin(Stdio::null());
        command.stdout(log.try_clone().unwrap()).stderr(log);
        // The platform limits the descriptors of each process.
        unsafe {
            command.pre_exec(|| match setrlimit(RLIMIT_NOFILE, &[MAX_FDS, MAX_FDS]) {
                0 => Ok(()),
                _ => Err(io::Error::last_os_error()),
            });
        }
        let mut pids = PIDS.lock().unwrap();
        let spawned = command.spawn();
        pids.extend(spawned.as_ref().ok().map(Child::id));
        drop(pids);
        match spawned {
            Ok(child) => self.processes[index] = Some(child),
            Err(error) => finish(2, &format!("can't start {BINARY}: {error}")),
        }
    }

    fn signal(&self, index: usize, signal: i32) {
        if let Some(child) = &self.processes[index] {
            note!("signal {signal} to process {index} ({})", self.ip(index));
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Sends a configuration to any node until it is acknowledged.
    fn configure(&self, document: &str) {
        let ends = Instant::now() + Duration::from_secs(20);
        while Instant::now() < ends {
            for control in self.control_addresses() {
                let line = "PUT /hemlockfield/config";
                let sent = call(&control, line, "", document, Duration::from_secs(1));
                if sent.is_ok_and(|answer| answer.status() == 200) {
                    note!("operator: configuration acknowledged by {control}");
                    return;
                }
            }
            sleep(0.1);
        }
        finish(2, "no configuration was acknowledged");
    }

    /// Waits until every entry answers 200 to `/hemlockfield/readiness`.
    fn wait_ready(&self) {
        let ends = Instant::now() + Duration::from_secs(20);
        let entries = self.processes.len() - self.controls;
        let is_ready = |entry: usize| {
            let line = "GET /hemlockfield/readiness";
            let asked = call(&self.ready(entry), line, "", "", Duration::from_secs(1));
            asked.is_ok_and(|answer| answer.status() == 200)
        };
        while !(0..entries).all(is_ready) {
            if Instant::now() > ends {
                finish(2, "the entries don't become ready");
            }
            sleep(0.1);
        }
    }
}

/// Renders a section of a template: once with a text, or not at all.
fn section(text: &str, name: &str, content: Option<&str>) -> String {
    let (open, close) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
    let (Some(from), Some(to)) = (text.find(&open), text.find(&close)) else {
        return text.to_owned();
    };
    format!("{}{}{}", &text[..from], content.unwrap_or_default(), &text[to + close.len()..])
}

/// A net of loopback addresses on which the ports of a site are free.
fn free_net(count: usize) -> (String, u16) {
    let pid = std::process::id();
    for attempt in 0..100 {
        let net = format!("127.{}.{}", 20 + (pid + attempt) % 200, (pid / 200 + attempt) % 250);
        let port = 20_000 + ((pid * 7 + attempt * 13) % 8_000) as u16;
        let ports: Vec<u16> = (port..port + 6).chain([9464]).collect();
        let is_free = (1..=count + 8).all(|host| {
            ports.iter().all(|port| TcpListener::bind(format!("{net}.{host}:{port}")).is_ok())
        });
        if is_free {
            return (net, port);
        }
    }
    finish(2, "no free addresses")
}

/// A configuration with one host.
fn document(version: u32, services: &[&str], routes: &[String]) -> String {
    let services = services.iter().map(|name| {
        format!(
            r#"{{"name":"{name}","healthCheckPath":"/health","maxConnections":390,"protocol":"h1","tls":false}}"#
        )
    });
    let services = services.collect::<Vec<_>>().join(",");
    let routes = routes.join(",");
    format!(
        r#"{{"version":"{version:08x}","services":[{services}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}},"hosts":[{{"host":"{HOST}","paths":[{routes}]}}]}}"#
    )
}

fn route(name: &str, kind: &str, timeout: f64, service: &str) -> String {
    format!(
        r#"{{"name":"r-{name}","pathPrefix":"/{name}/","routeType":"{kind}","timeoutS":{timeout},"aimS":1.0,"priority":1,"service":"{service}","maxAttempts":2}}"#
    )
}

// ---- Targets ----------------------------------------------------------------------------------------

/// A request that a target ran.
#[derive(Clone, Debug)]
struct Run {
    id: String,
    /// When its head arrived.
    arrived: f64,
    /// When it ended, and whether its answer was sent whole.
    ended: Option<(f64, bool)>,
    target: String,
}

type Runs = Arc<Mutex<Vec<Run>>>;

/// Decides how long a request takes.
type Work = Arc<dyn Fn(&Message) -> f64 + Send + Sync>;

/// Requests that wait at a server beyond its slots, at most.
const QUEUE: usize = 16;

/// Requests at a server.
#[derive(Default)]
struct Line {
    next: u64,
    running: usize,
    waiting: VecDeque<u64>,
}

/// A server of the pages: it works on `slots` requests at once and queues a few more.
#[derive(Clone)]
struct Target {
    address: String,
    id: String,
    runs: Runs,
    service: String,
    slots: usize,
    /// Set when it has ended: it takes no connection and drops those that it has.
    is_over: Arc<AtomicBool>,
    is_leaving: Arc<AtomicBool>,
    sequence: Arc<AtomicU64>,
    /// Its open connections.
    streams: Arc<Mutex<Vec<TcpStream>>>,
    line: Arc<(Mutex<Line>, Condvar)>,
    work: Work,
    zone: String,
}

impl Target {
    fn start(site: &Site, id: &str, service: &str, slots: usize, runs: &Runs, work: Work) -> Self {
        Self::start_at(&format!("{}.200:0", site.net), id, service, slots, runs, work)
    }

    /// Starts at an address, which a server that has ended may have had.
    fn start_at(
        address: &str,
        id: &str,
        service: &str,
        slots: usize,
        runs: &Runs,
        work: Work,
    ) -> Self {
        let listener = TcpListener::bind(address).unwrap();
        let target = Self {
            address: listener.local_addr().unwrap().to_string(),
            id: id.to_owned(),
            runs: Arc::clone(runs),
            service: service.to_owned(),
            slots,
            is_over: Arc::default(),
            is_leaving: Arc::default(),
            sequence: Arc::default(),
            streams: Arc::default(),
            line: Arc::default(),
            work,
            zone: ZONES[0].to_owned(),
        };
        let served = target.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.is_over.load(Ordering::Acquire) {
                    return;
                }
                let served = served.clone();
                let Ok(kept) = stream.try_clone() else { continue };
                served.streams.lock().unwrap().push(kept);
                thread::spawn(move || served.serve(Wire::new(stream)));
            }
        });
        target
    }

    /// One announcement, to one node; whether it was acknowledged within a second.
    fn announce(&self, control: &str, state: &str) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::AcqRel) + 1;
        let Self { address, id, service, slots, zone, .. } = self;
        let body = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":{slots},"state":"{state}","coldRemainingS":0,"sequence":{sequence}}}"#
        );
        let line = format!("PUT /hemlockfield/instances/{id}");
        let answer = call(control, &line, "", &body, Duration::from_secs(1));
        let status = answer.as_ref().map_or(0, Message::status);
        note!("target {id}: ping {sequence} ({state}) to {control}: {status}");
        status / 100 == 2
    }

    /// Announces itself to one node after the other until one acknowledges it.
    fn announce_any(&self, controls: &[String], state: &str) -> bool {
        controls.iter().any(|control| self.announce(control, state))
    }

    /// Says that it is gone, to one node after the other.
    fn leave(&self, controls: &[String]) -> bool {
        self.is_leaving.store(true, Ordering::Release);
        controls.iter().any(|control| {
            let line = format!("DELETE /hemlockfield/instances/{}", self.id);
            let answer = call(control, &line, "", "", Duration::from_secs(1));
            let status = answer.as_ref().map_or(0, Message::status);
            note!("target {}: DELETE to {control}: {status}", self.id);
            status / 100 == 2
        })
    }

    /// Announces itself every 1.5 s until it leaves.
    fn keep_announcing(&self, controls: Vec<String>) {
        let target = self.clone();
        thread::spawn(move || {
            let mut first = 0;
            while !target.is_leaving.load(Ordering::Acquire) {
                sleep(1.5);
                if target.is_leaving.load(Ordering::Acquire) {
                    return;
                }
                let mut order = controls.clone();
                order.rotate_left(first % controls.len());
                first += 1;
                target.announce_any(&order, "ready");
            }
        });
    }

    fn end(&self) {
        note!("target {}: ends", self.id);
        self.is_over.store(true, Ordering::Release);
        connect(&self.address, Duration::from_millis(100)).ok();
        for stream in self.streams.lock().unwrap().drain(..) {
            stream.shutdown(Shutdown::Both).ok();
        }
    }

    fn serve(&self, mut wire: Wire) {
        while let Ok(Some(mut request)) = wire.read_head() {
            let arrived = at();
            if wire.read_body(&mut request).is_err() {
                return;
            }
            let expected = request.header("Hemlockfield-Expected-Instance").map(str::to_owned);
            let id = request.header("Hemlockfield-Request-Id").unwrap_or_default().to_owned();
            let (status, extra, body) = if request.path() == "/health" {
                let status = if self.is_leaving.load(Ordering::Acquire) { 503 } else { 200 };
                (status, format!("Hemlockfield-Instance-Id: {}\r\n", self.id), String::new())
            } else if expected.is_some_and(|expected| expected != self.id) {
                (421, "Hemlockfield-Not-Executed: true\r\n".to_owned(), String::new())
            } else if !self.enter() {
                (503, "Hemlockfield-Not-Executed: true\r\n".to_owned(), String::new())
            } else {
                let position = {
                    let mut runs = self.runs.lock().unwrap();
                    let target = self.id.clone();
                    runs.push(Run { id: id.clone(), arrived, ended: None, target });
                    runs.len() - 1
                };
                note!("target {}: runs {id} ({} bytes)", self.id, request.body.len());
                let is_whole = self.work(&wire, (self.work)(&request));
                self.leave_slot();
                self.runs.lock().unwrap()[position].ended = Some((at(), is_whole));
                note!("target {}: {} {id}", self.id, if is_whole { "answers" } else { "drops" });
                if !is_whole {
                    wire.stream.shutdown(Shutdown::Both).ok();
                    return;
                }
                let signature = format!("Hemlockfield-Response-Signature: {id}.1\r\n");
                (200, signature, format!("done by {}", self.id))
            };
            let length = body.len();
            let leaving = self.is_leaving.load(Ordering::Acquire);
            let close = if leaving { "Connection: close\r\nServer-Leaving: 1\r\n" } else { "" };
            let text = format!(
                "HTTP/1.1 {status} Status\r\nHemlockfield-Request-Id: {id}\r\n{extra}{close}\
                 Content-Length: {length}\r\n\r\n{body}"
            );
            if wire.stream.write_all(text.as_bytes()).is_err() || leaving {
                return;
            }
        }
    }

    /// Waits for a slot, in a queue of 16, first come first served; false if that is full.
    fn enter(&self) -> bool {
        let (line, freed) = &*self.line;
        let mut line = line.lock().unwrap();
        if line.running + line.waiting.len() >= self.slots + QUEUE {
            return false;
        }
        line.next += 1;
        let mine = line.next;
        line.waiting.push_back(mine);
        while line.running >= self.slots || line.waiting.front() != Some(&mine) {
            line = freed.wait(line).unwrap();
        }
        line.waiting.pop_front();
        line.running += 1;
        freed.notify_all();
        true
    }

    fn leave_slot(&self) {
        let (line, freed) = &*self.line;
        line.lock().unwrap().running -= 1;
        freed.notify_all();
    }

    /// Works; drops the request when its connection closes or the target ends.
    fn work(&self, wire: &Wire, seconds: f64) -> bool {
        let ends = Instant::now() + Duration::from_secs_f64(seconds);
        wire.stream.set_nonblocking(true).ok();
        let is_whole = loop {
            let left = ends.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break true;
            }
            thread::sleep(left.min(Duration::from_millis(5)));
            let mut byte = [0];
            let is_gone = match wire.stream.peek(&mut byte) {
                Ok(0) => true,
                Ok(_) => false,
                Err(error) => error.kind() != io::ErrorKind::WouldBlock,
            };
            if is_gone || self.is_over.load(Ordering::Acquire) {
                break false;
            }
        };
        wire.stream.set_nonblocking(false).ok();
        is_whole
    }
}

/// A path on which everything takes `delay` longer, in both directions, while `is_slow`; also the end of a
/// connection.
fn slow_path(net: &str, to: &str, delay: f64, is_slow: Arc<AtomicBool>) -> String {
    let listener = TcpListener::bind(format!("{net}.201:0")).unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let to = to.to_owned();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let Ok(onward) = connect(&to, Duration::from_secs(1)) else { continue };
            stream.set_nodelay(true).ok();
            onward.set_nodelay(true).ok();
            let delay = if is_slow.load(Ordering::Acquire) { delay } else { 0.0 };
            let pairs =
                [(stream.try_clone().unwrap(), onward.try_clone().unwrap()), (onward, stream)];
            for (from, to) in pairs {
                thread::spawn(move || pump(from, to, delay));
            }
        }
    });
    address
}

fn pump(mut from: TcpStream, mut to: TcpStream, delay: f64) {
    let (sender, receiver) = std::sync::mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        while let Ok((due, bytes)) = receiver.recv() {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let is_over = bytes.is_empty() || to.write_all(&bytes).is_err();
            if is_over {
                to.shutdown(Shutdown::Write).ok();
                return;
            }
        }
    });
    let mut bytes = [0; 16 * 1024];
    loop {
        let count = from.read(&mut bytes).unwrap_or(0);
        let due = Instant::now() + Duration::from_secs_f64(delay);
        if sender.send((due, bytes[..count].to_vec())).is_err() || count == 0 {
            return;
        }
    }
}

// ---- Clients ----------------------------------------------------------------------------------------

/// What a client saw of one request.
#[derive(Clone, Debug)]
struct Seen {
    sent: f64,
    /// Status of a whole answer; `None` if none came.
    status: Option<u16>,
    /// Seconds after which it may come back.
    retry_after: f64,
}

/// One request of a client on a kept connection, or on a new one if there is none. An API key may follow
/// the path, behind a zero byte.
fn request(
    kept: &mut Option<Wire>,
    front: &str,
    first: &str,
    id: &str,
    deadline: f64,
    body: &[u8],
) -> Seen {
    let sent = at();
    let (first, key) = first.split_once('\0').unwrap_or((first, ""));
    let key = if key.is_empty() { String::new() } else { format!("X-Api-Key: {key}\r\n") };
    let asked = (|| -> io::Result<Message> {
        if kept.is_none() {
            *kept = Some(Wire::new(connect(front, Duration::from_secs(1))?));
        }
        let wire = kept.as_mut().unwrap();
        let limit = Duration::from_secs_f64(deadline);
        wire.stream.set_read_timeout(Some(limit))?;
        let head = format!(
            "{first} HTTP/1.1\r\nHost: {HOST}\r\nHemlockfield-Request-Id: {id}\r\n\
             Hemlockfield-Deadline-Ms: {}\r\n{key}Content-Length: {}\r\n\r\n",
            (deadline * 1000.0) as u64,
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        wire.stream.write_all(&bytes)?;
        let mut answer = wire.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        wire.read_body(&mut answer)?;
        Ok(answer)
    })();
    let must_close = asked.as_ref().map_or(true, |answer| {
        answer.header("connection").is_some_and(|it| it.eq_ignore_ascii_case("close"))
    });
    if must_close {
        *kept = None;
    }
    let status = asked.as_ref().ok().map(Message::status);
    let shown = match &asked {
        Ok(answer) => format!("{} {}", answer.status(), String::from_utf8_lossy(&answer.body)),
        Err(error) => format!("no answer: {error}"),
    };
    note!("client: {id} sent at {sent:.3}: {}", shown.trim().replace('\n', " "));
    let after = asked.as_ref().ok().and_then(|answer| answer.header("retry-after")?.parse().ok());
    Seen { sent, status, retry_after: after.unwrap_or(0.0) }
}

/// Clients that send requests one after the other to one entry each, until told to stop.
struct Clients {
    is_over: Arc<AtomicBool>,
    seen: Arc<Mutex<Vec<Seen>>>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Clients {
    fn start(
        fronts: &[String],
        each: usize,
        name: &str,
        method: &str,
        deadline: f64,
        pause: f64,
    ) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let seen = Arc::new(Mutex::new(Vec::new()));
        let mut threads = Vec::new();
        for (entry, front) in fronts.iter().enumerate() {
            for client in 0..each {
                let (is_over, seen) = (Arc::clone(&is_over), Arc::clone(&seen));
                let (front, name, method) = (front.clone(), name.to_owned(), method.to_owned());
                threads.push(thread::spawn(move || {
                    let mut kept = None;
                    for number in 0.. {
                        if is_over.load(Ordering::Acquire) {
                            return;
                        }
                        let id = format!("{name}-{entry}-{client}-{number}");
                        let first = format!("{method} /{name}/{number}");
                        let one = request(&mut kept, &front, &first, &id, deadline, b"");
                        let after = one.retry_after.max(pause);
                        seen.lock().unwrap().push(one);
                        sleep(after);
                    }
                }));
            }
        }
        Self { is_over, seen, threads }
    }

    fn stop(self) -> Vec<Seen> {
        self.is_over.store(true, Ordering::Release);
        self.threads.into_iter().for_each(|thread| thread.join().unwrap());
        self.seen.lock().unwrap().clone()
    }
}

fn fixed(seconds: f64) -> Work {
    Arc::new(move |_| seconds)
}

include!("cases-2.rs");

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("stand-ins-2 CASE FOLDER");
        std::process::exit(2);
    };
    let Ok(file) = File::create(Path::new(&folder).join("record.txt")) else {
        std::process::exit(2)
    };
    RECORD.set(Mutex::new((Instant::now(), file))).ok();
    let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    FOLDER.set(folder).ok();
    thread::spawn(|| {
        thread::sleep(LONGEST);
        finish(2, "it took too long");
    });
    std::panic::set_hook(Box::new(|panic| {
        let text = panic.to_string();
        note!("the stand-in panicked: {text}");
        eprintln!("{text}");
    }));
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    note!("case {case}, {} the disruption", if is_troubled { "with" } else { "without" });
    let played = std::panic::catch_unwind(|| play(&case, is_troubled));
    match played {
        Ok((is_broken, why)) => finish(i32::from(is_broken), &why),
        Err(_) => finish(2, "the stand-in failed"),
    }
}
