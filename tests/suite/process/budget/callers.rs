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

/// What all callers share.
pub(super) struct Callers {
    /// Addresses that answer what entries callers are to use.
    directories: Vec<String>,
    domains: Vec<String>,
    pub(super) is_over: AtomicBool,
    /// Entries to use, by failure domain.
    lists: Vec<Mutex<Vec<SocketAddr>>>,
    next: AtomicU64,
    /// When requests were sent to an entry that could be connected to.
    pub(super) sent: Mutex<Vec<Instant>>,
}

impl Callers {
    pub(super) fn new(directories: Vec<String>, domains: Vec<String>) -> Self {
        let lists = domains.iter().map(|_| Mutex::default()).collect();
        Self {
            directories,
            domains,
            is_over: AtomicBool::new(false),
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
                self.send(entries[random.random_range(0..entries.len())]).ok();
            }
            thread::sleep(pace.saturating_sub(at.elapsed()));
        }
    }

    fn send(&self, entry: SocketAddr) -> std::io::Result<()> {
        let mut stream = TcpStream::connect_timeout(&entry, CONNECT_TIMEOUT)?;
        stream.set_read_timeout(Some(DEADLINE))?;
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        self.sent.lock().unwrap().push(Instant::now());
        let head = format!(
            "GET /hull/1 HTTP/1.1\r\nhost: yard.example\r\nconnection: close\r\n\
             Hemlockfield-Request-Id: {id:x}\r\nHemlockfield-Deadline-Ms: {}\r\n\r\n",
            DEADLINE.as_millis()
        );
        stream.write_all(head.as_bytes())?;
        stream.read_to_string(&mut String::new())?;
        Ok(())
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
