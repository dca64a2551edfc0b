//! Requests under which upstreams end, counted at the upstreams of real processes.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
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

use rstest::rstest;

use super::fleet::wait_for;
use super::site::CONTROLS;
use super::site::ENTRIES;
use super::site::FRONT;
use super::site::Site;
use crate::stand_in::ask;

const CONFIGURATION: &str = r#"{"version":"1","services":[{"name":"hull"}],"hosts":[{"host":"yard.example",
    "paths":[{"name":"look","pathPrefix":"/","routeType":"safe","service":"hull","timeoutS":2,"maxAttempts":2}]}]}"#;
const RETRY: &str = "{share: 0.5, burst: 1000, pooled: true, window: 2s}";
const UPSTREAMS: usize = 6;
const HOT_CALLERS: usize = 50;
const HOT_PACE: Duration = Duration::from_millis(150);
const FATAL_PACE: Duration = Duration::from_millis(400);
const SPAN: Duration = Duration::from_secs(16);
/// How long an upstream is away once it has ended.
const AWAY: Duration = Duration::from_secs(2);
/// How long the work on a request takes, so that some are in flight whenever an upstream ends.
const WORK: Duration = Duration::from_millis(30);
/// Upstreams that a request may end, and the time in which all entries learn of it.
const ENDS_MAX: usize = 3;
const REACH: Duration = Duration::from_secs(3);
/// Times that it may be sent later than that.
const SENDS_MAX: usize = 3;

/// An upstream that ends under some path, and is back after some time.
struct Upstream {
    address: SocketAddr,
    /// When it ended.
    ends: Arc<Mutex<Vec<Instant>>>,
    /// When a request for the fatal path arrived.
    fatal: Arc<Mutex<Vec<Instant>>>,
}

impl Upstream {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let upstream = Self { address, ends: Arc::default(), fatal: Arc::default() };
        let (ends, fatal) = (Arc::clone(&upstream.ends), Arc::clone(&upstream.fatal));
        thread::spawn(move || {
            serve(listener, &fatal);
            loop {
                ends.lock().unwrap().push(Instant::now());
                thread::sleep(AWAY);
                serve(TcpListener::bind(address).unwrap(), &fatal);
            }
        });
        upstream
    }
}

/// Takes requests until one is fatal; ends all connections then, after the listener.
fn serve(listener: TcpListener, fatal: &Arc<Mutex<Vec<Instant>>>) {
    listener.set_nonblocking(true).unwrap();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut streams = Vec::new();
    while !is_over.load(Ordering::Acquire) {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(Duration::from_millis(1));
            continue;
        };
        stream.set_nonblocking(false).unwrap();
        streams.push(stream.try_clone().unwrap());
        let (is_over, fatal) = (Arc::clone(&is_over), Arc::clone(fatal));
        thread::spawn(move || respond(&stream, &is_over, &fatal));
    }
    drop(listener);
    streams.iter().for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
}

fn respond(stream: &TcpStream, is_over: &AtomicBool, fatal: &Mutex<Vec<Instant>>) {
    let (mut id, mut path) = (String::new(), String::new());
    for line in BufReader::new(stream).lines().map_while(Result::ok) {
        if line.starts_with("GET ") {
            line.split(' ').nth(1).unwrap_or_default().clone_into(&mut path);
        }
        if let Some(text) = line.to_lowercase().strip_prefix("hemlockfield-request-id:") {
            text.trim().clone_into(&mut id);
        }
        if !line.is_empty() {
            continue;
        }
        if path == "/hull/fatal" {
            fatal.lock().unwrap().push(Instant::now());
            thread::sleep(WORK / 2);
            is_over.store(true, Ordering::Release);
            return;
        }
        thread::sleep(WORK);
        if is_over.load(Ordering::Acquire) {
            return;
        }
        let text = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: 4\r\nHemlockfield-Request-Id: {id}\r\n\
             Hemlockfield-Response-Signature: 1\r\n\r\nhull"
        );
        if (&mut &*stream).write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// What is done to the processes some seconds after the first death.
#[derive(Clone, Copy, Debug)]
enum Disturbance {
    None,
    /// Both entries are killed one after the other, and start again.
    Entries,
    /// Each control is killed for some time, the leader among them.
    Controls,
}

fn disturb(site: &mut Site, disturbance: Disturbance) {
    thread::sleep(Duration::from_secs(5));
    let processes = match disturbance {
        Disturbance::None => 0..0,
        Disturbance::Entries => CONTROLS..CONTROLS + ENTRIES,
        Disturbance::Controls => 0..CONTROLS,
    };
    for at in processes {
        site.kill(at);
        thread::sleep(Duration::from_millis(500));
        site.run(at, false);
        thread::sleep(Duration::from_millis(2_500));
    }
}

/// What upstreams and callers saw.
struct Run {
    ends: Vec<Instant>,
    fatal: Vec<Instant>,
    /// Answers to callers of the hot path, by status.
    hot: Vec<u16>,
    /// Hot requests that were refused for ending upstreams.
    refused_hot: usize,
    /// Answers to the fatal request: status, and how long it took.
    told: Vec<(u16, Duration)>,
}

const REASON: &str = "upstreams ended under";

fn run(disturbance: Disturbance) -> Run {
    let mut site = Site::start_with_retries(RETRY, &[0, 1, 2, 3, 4]);
    let upstreams: Vec<Upstream> = (0..UPSTREAMS).map(|_| Upstream::start()).collect();
    wait_for("a configuration", || (0..CONTROLS).any(|at| site.submit_document(at, CONFIGURATION)));
    for (at, upstream) in upstreams.iter().enumerate() {
        let address = upstream.address.to_string();
        wait_for("an upstream", || site.announce_slots(&format!("i-{at}"), &address, 16));
    }
    for entry in 0..ENTRIES {
        wait_for("an answer", || site.look(entry).0 == 200);
    }
    let fronts: Vec<String> =
        (0..ENTRIES).map(|at| format!("{}:{FRONT}", site.ip(CONTROLS + at))).collect();
    let (next, refused_hot) = (AtomicU64::new(1_000), AtomicU64::new(0));
    let (hot, told) = (Mutex::new(Vec::new()), Mutex::new(Vec::new()));
    let send = |path: &str| {
        let id = next.fetch_add(1, Ordering::Relaxed);
        let headers =
            format!("Hemlockfield-Request-Id: {id}\r\nHemlockfield-Deadline-Ms: 1500\r\n");
        ask(&fronts[id as usize % ENTRIES], &format!("GET {path}"), &headers, "")
    };
    let started = Instant::now();
    thread::scope(|scope| {
        for _ in 0..HOT_CALLERS {
            scope.spawn(|| {
                while started.elapsed() < SPAN {
                    let (status, body) = send("/hull/hot");
                    hot.lock().unwrap().push(status);
                    let is_refused = body.contains(REASON);
                    refused_hot.fetch_add(u64::from(is_refused), Ordering::Relaxed);
                    thread::sleep(HOT_PACE);
                }
            });
        }
        scope.spawn(|| {
            thread::sleep(Duration::from_secs(1));
            while started.elapsed() < SPAN {
                let sent_at = Instant::now();
                let (status, _) = send("/hull/fatal");
                told.lock().unwrap().push((status, sent_at.elapsed()));
                thread::sleep(FATAL_PACE);
            }
        });
        disturb(&mut site, disturbance);
    });
    let mut ends: Vec<_> =
        upstreams.iter().flat_map(|it| it.ends.lock().unwrap().clone()).collect();
    ends.sort();
    let fatal = upstreams.iter().flat_map(|it| it.fatal.lock().unwrap().clone()).collect();
    let (hot, told) = (hot.into_inner().unwrap(), told.into_inner().unwrap());
    Run { ends, fatal, hot, refused_hot: refused_hot.into_inner() as usize, told }
}

impl Run {
    /// Times that the fatal request was sent after all entries have learned that it ends upstreams.
    fn sent_late(&self) -> usize {
        let Some(third) = self.ends.get(ENDS_MAX - 1) else { return 0 };
        self.fatal.iter().filter(|at| **at > *third + REACH).count()
    }
}

// A request ends each upstream that runs it and comes again and again, beside a hot path that is in
// flight whenever one ends.
#[rstest]
#[case::calm(Disturbance::None)]
#[case::entries_killed(Disturbance::Entries)]
#[case::controls_killed(Disturbance::Controls)]
fn fatal_request_sent_on(#[case] disturbance: Disturbance) {
    let run = run(disturbance);
    let served = run.hot.iter().filter(|status| **status == 200).count();
    let lost = run.hot.iter().filter(|status| **status == 502).count();
    println!(
        "{} ended, {} sent late; of {} hot requests {served} served, {lost} lost, {} refused as fatal",
        run.ends.len(),
        run.sent_late(),
        run.hot.len(),
        run.refused_hot,
    );
    assert!(run.ends.len() >= ENDS_MAX);
    assert!(run.sent_late() <= SENDS_MAX, "{} sent late, {:?}", run.sent_late(), run.told);
    assert_eq!(run.refused_hot, 0);
}
