//! Upstreams that record each arrival, and fail some requests whoever brings them.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use socket2::SockRef;

use super::failure::Failure;
use super::failure::Failures;

/// Requests with lower ids are no callers' and are not recorded.
pub(super) const FIRST_ID: u64 = 0x1000;
/// Time that a slow answer takes, which is longer than most.
const SLOW: Duration = Duration::from_millis(350);
/// Time for which an upstream holds a request that it never answers.
const SILENCE: Duration = Duration::from_secs(3);

type Arrivals = Arc<Mutex<Vec<(Instant, String)>>>;

#[derive(Clone)]
pub(super) struct Upstream {
    pub(super) address: String,
    pub(super) arrivals: Arrivals,
    /// Whether it reads nothing.
    pub(super) is_stopped: Arc<AtomicBool>,
    /// Id by which it has announced itself; another one is told that it is misdirected.
    pub(super) id: Arc<Mutex<String>>,
    failures: Failures,
}

impl Upstream {
    /// Starts an upstream that fails the requests which `failures` names.
    pub(super) fn start(id: &str, failures: Failures) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let upstream = Self {
            address: listener.local_addr().unwrap().to_string(),
            arrivals: Arc::default(),
            is_stopped: Arc::default(),
            id: Arc::new(Mutex::new(id.to_owned())),
            failures,
        };
        let server = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(&stream));
            }
        });
        upstream
    }

    fn serve(&self, mut stream: &TcpStream) {
        let mut reader = BufReader::new(stream);
        while let Some(head) = self.read_head(&mut reader) {
            if head.number >= FIRST_ID {
                self.arrivals.lock().unwrap().push((Instant::now(), head.id.clone()));
            }
            if reader.read_exact(&mut vec![0; head.length]).is_err() {
                return;
            }
            let is_meant = head.expected.is_empty() || head.expected == *self.id.lock().unwrap();
            let failure = match is_meant {
                _ if head.number < FIRST_ID => None,
                true => self.failures.of(head.number, &self.address),
                false => Some(Failure::Misdirected),
            };
            if stream.write_all(&answer(failure, &head.id)).is_err() {
                return;
            }
            match failure {
                Some(Failure::Cut | Failure::End | Failure::Garbage | Failure::Rest) => return,
                Some(Failure::Reset) => {
                    SockRef::from(stream).set_linger(Some(Duration::ZERO)).unwrap();
                    return;
                }
                _ => (),
            }
        }
    }

    /// Reads a head, however late the upstream goes on; `None` at the end of the connection.
    fn read_head(&self, reader: &mut BufReader<&TcpStream>) -> Option<Head> {
        let mut head = Head::default();
        let mut line = String::new();
        while reader.read_line(&mut line).ok()? > 0 {
            while self.is_stopped.load(Ordering::Acquire) {
                thread::sleep(Duration::from_millis(5));
            }
            let lower = line.trim().to_lowercase();
            if lower.is_empty() {
                return Some(head);
            }
            if let Some(text) = lower.strip_prefix("hemlockfield-request-id:") {
                text.trim().clone_into(&mut head.id);
                head.number = u64::from_str_radix(&head.id, 16).unwrap_or_default();
            }
            if let Some(text) = lower.strip_prefix("hemlockfield-expected-instance:") {
                text.trim().clone_into(&mut head.expected);
            }
            if let Some(text) = lower.strip_prefix("content-length:") {
                head.length = text.trim().parse().unwrap_or_default();
            }
            line.clear();
        }
        None
    }
}

/// What an upstream reads of a request.
#[derive(Default)]
struct Head {
    expected: String,
    id: String,
    length: usize,
    number: u64,
}

/// Bytes that an upstream sends for a request, after as long as it takes.
fn answer(failure: Option<Failure>, id: &str) -> Vec<u8> {
    match failure {
        Some(Failure::Silence) => thread::sleep(SILENCE),
        Some(Failure::Slow) => thread::sleep(SLOW),
        _ => (),
    }
    let not_run = "Hemlockfield-Not-Executed: 1\r\n";
    let signature = "Hemlockfield-Response-Signature: 1\r\n";
    let (status, further) = match failure {
        Some(Failure::End | Failure::Reset | Failure::Silence) => return Vec::new(),
        Some(Failure::Garbage) => return b"\x7f\x7f hull hull hull\r\n\r\n".to_vec(),
        Some(Failure::Refusal) => ("429 Too Many Requests", not_run.to_owned()),
        Some(Failure::Misdirected) => ("421 Misdirected Request", not_run.to_owned()),
        Some(Failure::Error) => ("500 Internal Server Error", signature.to_owned()),
        Some(Failure::Rest) => {
            ("503 Busy", format!("{not_run}Retry-After: 0.2\r\nConnection: close\r\n"))
        }
        Some(Failure::Unsigned) => ("200 OK", String::new()),
        Some(Failure::Cut | Failure::Slow) | None => ("200 OK", signature.to_owned()),
    };
    let length = if failure == Some(Failure::Cut) { 400 } else { 4 };
    let head = format!("content-length: {length}\r\nHemlockfield-Request-Id: {id}\r\n{further}");
    format!("HTTP/1.1 {status}\r\n{head}\r\nhull").into_bytes()
}
