//! Callers that use the entries that a directory names.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;

use super::upstream::FIRST_ID;
use crate::stand_in::ask;

pub(super) const CALLERS: usize = 120;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const DEADLINE: Duration = Duration::from_secs(2);
const REFRESH: Duration = Duration::from_millis(1_000);
const POLL: Duration = Duration::from_millis(100);
/// Repeats of a caller that does not wait, of a request that failed.
const IMPATIENT_REPEATS: u32 = 3;

/// What callers send, and to which services its route leads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Kind {
    /// Requests that may be repeated, to the first service.
    Look,
    /// Requests that may be repeated, to the second service.
    Certify,
    /// Uploads, to both services.
    File,
    /// Requests that may run once, to the first service.
    Sign,
}

impl Kind {
    const ALL: [Self; 6] =
        [Self::Look, Self::Sign, Self::Look, Self::File, Self::Look, Self::Certify];

    /// Whether its route leads to a service, by the service's position.
    pub(super) fn leads_to(self, service: usize) -> bool {
        match self {
            Self::File => true,
            Self::Look | Self::Sign => service == 0,
            Self::Certify => service == 1,
        }
    }

    fn line(self) -> &'static str {
        match self {
            Self::Look => "GET /hull/1",
            Self::Certify => "GET /certificate/1",
            Self::File => "POST /file/1",
            Self::Sign => "POST /sign/1",
        }
    }

    fn body_length(self) -> usize {
        match self {
            Self::Look | Self::Certify => 0,
            Self::Sign => 300,
            Self::File => 20_000,
        }
    }
}

/// What all callers share.
pub(super) struct Callers {
    /// Addresses that answer what entries callers are to use.
    directories: Vec<String>,
    domains: Vec<String>,
    pub(super) is_over: AtomicBool,
    /// Entries to use, by failure domain.
    lists: Vec<Mutex<Vec<SocketAddr>>>,
    next: AtomicU64,
    /// Whether callers send all kinds, and some leave early or repeat at once.
    is_mixed: bool,
    /// When requests were sent to an entry that could be connected to, by kind.
    pub(super) sent: Mutex<Vec<(Instant, Kind)>>,
}

impl Callers {
    pub(super) fn new(directories: Vec<String>, domains: Vec<String>, is_mixed: bool) -> Self {
        let lists = domains.iter().map(|_| Mutex::default()).collect();
        Self {
            directories,
            domains,
            is_over: AtomicBool::new(false),
            is_mixed,
            lists,
            next: AtomicU64::new(FIRST_ID),
            sent: Mutex::default(),
        }
    }

    /// Sends requests at a pace until the run is over.
    pub(super) fn call(&self, seed: u64, pace: Duration) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let list = &self.lists[seed as usize % self.lists.len()];
        thread::sleep(pace.mul_f64(random.random_range(0.0..1.0)));
        while !self.is_over.load(Ordering::Acquire) {
            let at = Instant::now();
            let entries = list.lock().unwrap().clone();
            if !entries.is_empty() {
                self.request(&entries, &mut random);
            }
            thread::sleep(pace.saturating_sub(at.elapsed()));
        }
    }

    /// Sends a request; a caller that does not wait repeats one that failed at once, as new ones.
    fn request(&self, entries: &[SocketAddr], random: &mut ChaCha8Rng) {
        let kinds: &[Kind] = if self.is_mixed { &Kind::ALL } else { &[Kind::Look] };
        let kind = kinds[random.random_range(0..kinds.len())];
        let (is_leaving, is_impatient) =
            (self.is_mixed && random.random_bool(0.1), self.is_mixed && random.random_bool(0.2));
        let patience =
            if is_leaving { Duration::from_millis(random.random_range(20..700)) } else { DEADLINE };
        let repeats = if is_impatient { IMPATIENT_REPEATS } else { 0 };
        for _ in 0..=repeats {
            let entry = entries[random.random_range(0..entries.len())];
            if self.send(entry, kind, patience).is_ok_and(|is_served| is_served) {
                return;
            }
        }
    }

    /// Returns whether the answer is a success.
    fn send(&self, entry: SocketAddr, kind: Kind, patience: Duration) -> std::io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&entry, CONNECT_TIMEOUT)?;
        stream.set_read_timeout(Some(patience))?;
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        self.sent.lock().unwrap().push((Instant::now(), kind));
        let head = format!(
            "{} HTTP/1.1\r\nhost: yard.example\r\nconnection: close\r\ncontent-length: {}\r\n\
             Hemlockfield-Request-Id: {id:x}\r\nHemlockfield-Deadline-Ms: {}\r\n\r\n",
            kind.line(),
            kind.body_length(),
            DEADLINE.as_millis()
        );
        stream.write_all(head.as_bytes())?;
        stream.write_all(&vec![b'h'; kind.body_length()])?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer.starts_with("HTTP/1.1 2"))
    }

    /// Asks for the lists of entries until the run is over, each at another process.
    pub(super) fn refresh(&self) {
        let mut asked = 0;
        let mut due = vec![Instant::now(); self.lists.len()];
        while !self.is_over.load(Ordering::Acquire) {
            for (at, list) in self.lists.iter().enumerate() {
                if Instant::now() < due[at] {
                    continue;
                }
                asked += 1;
                let directory = &self.directories[asked % self.directories.len()];
                let entries = resolve(directory, &self.domains[at]);
                if !entries.is_empty() {
                    *list.lock().unwrap() = entries;
                    due[at] = Instant::now() + REFRESH;
                }
            }
            thread::sleep(POLL);
        }
    }
}

fn resolve(directory: &str, domain: &str) -> Vec<SocketAddr> {
    let line = format!("GET /hemlockfield/resolve?name=yard.example&region=here&zone={domain}");
    let (status, body) = ask(directory, &line, "", "");
    let list: Value = serde_json::from_str(&body).unwrap_or_default();
    let addresses = list["addresses"].as_array().filter(|_| status == 200);
    let addresses = addresses.into_iter().flatten();
    addresses.filter_map(|address| address.as_str()?.parse().ok()).collect()
}
