//! Arrivals at upstreams of real processes, counted there by request, against the retry budget.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

use super::fleet::wait_for;
use super::judge;
use super::proxy::Proxy;
use super::site::CONTROLS;
use super::site::ENTRIES;
use super::site::FRONT;
use super::site::Layout;
use super::site::Site;

const SHARE: f64 = 0.2;
const BURST: f64 = 8.0;
const BRIEF: Setup = Setup {
    callers: 8,
    deadline: Duration::from_millis(1_500),
    limits: "{}",
    pace: Duration::from_millis(25),
    retry: "{share: 0.2, burst: 8, pooled: true, window: 2s}",
    slots: 4,
    span: Duration::from_secs(11),
    window: Duration::from_secs(2),
};
const LONG: Setup = Setup {
    callers: 150,
    deadline: Duration::from_millis(500),
    limits: "{first_byte: 120ms}",
    pace: Duration::from_millis(600),
    retry: "{share: 0.2, burst: 8, pooled: true, window: 4s}",
    slots: 64,
    span: Duration::from_secs(16),
    window: Duration::from_secs(4),
};
const CONFIGURATION: &str = r#"{"version":"1","services":[{"name":"hull"}],"hosts":[{"host":"yard.example",
    "paths":[{"name":"look","pathPrefix":"/","routeType":"safe","service":"hull","timeoutS":2,"maxAttempts":4}]}]}"#;
const CALM: Duration = Duration::from_secs(4);
/// Time in which an entry writes what it has counted.
const REPORT: Duration = Duration::from_millis(1_500);

/// Retry budget of the entries, and what callers send.
#[derive(Clone, Copy, Debug)]
struct Setup {
    callers: u64,
    deadline: Duration,
    limits: &'static str,
    /// Time from one request of a caller to the next, or longer if it gets no answer.
    pace: Duration,
    retry: &'static str,
    /// Slots of each upstream.
    slots: u32,
    span: Duration,
    window: Duration,
}

type Times = Arc<Mutex<Vec<(Instant, String)>>>;

/// An upstream that answers until it is told to break all answers, and records each arrival.
struct Upstream {
    address: String,
    arrivals: Times,
    is_broken: Arc<AtomicBool>,
}

impl Upstream {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let upstream = Self {
            address: listener.local_addr().unwrap().to_string(),
            arrivals: Times::default(),
            is_broken: Arc::default(),
        };
        let (arrivals, is_broken) =
            (Arc::clone(&upstream.arrivals), Arc::clone(&upstream.is_broken));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (arrivals, is_broken) = (Arc::clone(&arrivals), Arc::clone(&is_broken));
                thread::spawn(move || answer(&stream, &arrivals, &is_broken));
            }
        });
        upstream
    }
}

/// Records a request and answers it, or closes the connection.
fn answer(stream: &TcpStream, arrivals: &Times, is_broken: &AtomicBool) {
    let lines = BufReader::new(stream).lines();
    let mut id = String::new();
    for line in lines.map_while(Result::ok) {
        let line = line.to_lowercase();
        if let Some(text) = line.strip_prefix("hemlockfield-request-id:") {
            text.trim().clone_into(&mut id);
        }
        if !line.is_empty() {
            continue;
        }
        arrivals.lock().unwrap().push((Instant::now(), id.clone()));
        if is_broken.load(Ordering::Acquire) {
            return;
        }
        let head = format!("Hemlockfield-Request-Id: {id}\r\nHemlockfield-Response-Signature: 1");
        let text = format!("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n{head}\r\n\r\nhull");
        if (&mut &*stream).write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// Entries before upstreams, and callers that send requests at a steady pace.
struct Run {
    arrivals: Vec<(Instant, String)>,
    sent: Vec<Instant>,
    site: Site,
    window: Duration,
}

/// Sends requests for some seconds, of which all fail after the calm ones; `disturb` acts on the
/// processes and on the proxies before the upstreams meanwhile.
fn run(setup: Setup, disturb: impl Fn(&mut Site, &AtomicBool)) -> Run {
    let layout = Layout { limits: setup.limits, retry: setup.retry, ..Layout::default() };
    let mut site = Site::start_with(layout, &[0, 1, 2, 3, 4]);
    let is_silent = Arc::new(AtomicBool::new(false));
    let upstreams: Vec<Upstream> = (0..4).map(|_| Upstream::start()).collect();
    wait_for("a configuration", || (0..CONTROLS).any(|at| site.submit_document(at, CONFIGURATION)));
    for (at, upstream) in upstreams.iter().enumerate() {
        let address = Proxy::start(&upstream.address, &is_silent).address;
        wait_for("an upstream", || site.announce_slots(&format!("i-{at}"), &address, setup.slots));
    }
    for entry in 0..ENTRIES {
        wait_for("an answer", || site.look(entry).0 == 200);
    }
    let fronts: Vec<String> =
        (0..ENTRIES).map(|at| format!("{}:{FRONT}", site.ip(CONTROLS + at))).collect();
    let (sent, next) = (Mutex::new(Vec::new()), AtomicU64::new(1_000));
    let started = Instant::now();
    thread::scope(|scope| {
        for caller in 0..setup.callers {
            let (fronts, sent, next) = (&fronts, &sent, &next);
            scope.spawn(move || {
                while started.elapsed() < setup.span {
                    let id = next.fetch_add(1, Ordering::Relaxed);
                    let front = &fronts[(id + caller) as usize % fronts.len()];
                    let sent_at = Instant::now();
                    sent.lock().unwrap().push(sent_at);
                    let deadline = setup.deadline.as_millis();
                    let headers = format!(
                        "Hemlockfield-Request-Id: {id}\r\nHemlockfield-Deadline-Ms: {deadline}\r\n"
                    );
                    crate::stand_in::ask(front, "GET /hull/1", &headers, "");
                    thread::sleep(setup.pace.saturating_sub(sent_at.elapsed()));
                }
            });
        }
        thread::sleep(CALM);
        upstreams.iter().for_each(|it| it.is_broken.store(true, Ordering::Release));
        disturb(&mut site, &is_silent);
    });
    thread::sleep(REPORT);
    let arrivals = upstreams.iter().flat_map(|it| it.arrivals.lock().unwrap().clone());
    let mut arrivals: Vec<_> = arrivals.filter(|(_, id)| id.len() > 3).collect();
    arrivals.sort();
    let sent = sent.into_inner().unwrap();
    Run { arrivals, sent, site, window: setup.window }
}

impl Run {
    /// Arrivals beyond the first of each request.
    fn again(&self) -> Vec<Instant> {
        judge::retries(&self.arrivals)
    }

    /// Highest share of what is allowed that arrived in a window.
    fn worst(&self) -> f64 {
        let budget = judge::Budget { burst: BURST, share: SHARE, window: self.window };
        budget.worst(&self.sent, &self.again()).share()
    }

    /// Sum of a field of the lines on retries, over all entries.
    fn logged(&self, field: &str) -> u64 {
        let logs = (0..ENTRIES).map(|at| std::fs::read_to_string(self.site.log(CONTROLS + at)));
        let logs: Vec<String> = logs.map(Result::unwrap).collect();
        let lines = logs.iter().flat_map(|log| log.lines());
        let lines = lines.filter_map(|line| serde_json::from_str::<Value>(line).ok());
        let fields = lines.map(|line| line["fields"].clone());
        let retries = fields.filter(|fields| fields["message"] == "retries");
        retries.filter_map(|fields| fields[field].as_u64()).sum()
    }
}

// All upstreams break their answers. What they got beyond the first arrival of each request is what entries
// say that they paid for.
#[test]
fn repeats_counted_at_upstreams() {
    let run = run(BRIEF, |_, _| ());
    let (again, paid) = (run.again().len() as u64, run.logged("paid"));
    println!("{again} arrived again, {paid} paid, {:.2} of what is allowed", run.worst());
    assert!(again > 0 && run.worst() <= 1.0, "{:.2} of what is allowed", run.worst());
    // A retry on a connection that its upstream closes at that moment is paid and does not arrive.
    assert!(again <= paid && paid <= again + again / 10, "{again} arrived again, {paid} paid");
}

// Entries are killed and stand still while all upstreams break their answers.
#[test]
fn repeats_amid_kills() {
    let run = run(BRIEF, |site, _| {
        for _ in 0..2 {
            thread::sleep(Duration::from_millis(400));
            (0..ENTRIES).for_each(|at| site.kill(CONTROLS + at));
            (0..ENTRIES).for_each(|at| site.run(CONTROLS + at, false));
            thread::sleep(Duration::from_millis(900));
        }
        site.signal(CONTROLS, "STOP");
        thread::sleep(Duration::from_millis(600));
        site.signal(CONTROLS, "CONT");
    });
    println!("{} arrived again, {:.2} of what is allowed", run.again().len(), run.worst());
    assert!(run.worst() <= 1.0, "{:.2} of what is allowed", run.worst());
}

// Proxies before all upstreams are silent for most of a window and deliver what they held afterwards.
#[test]
fn repeats_held_by_proxies() {
    let run = run(LONG, |_, is_silent| {
        is_silent.store(true, Ordering::Release);
        thread::sleep(Duration::from_millis(3_000));
        is_silent.store(false, Ordering::Release);
    });
    let (again, paid) = (run.again().len(), run.logged("paid"));
    println!("{again} arrived again, {paid} paid, {:.2} of what is allowed", run.worst());
    assert!(run.worst() <= 1.0, "{:.2} of what is allowed", run.worst());
}
