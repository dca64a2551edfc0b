//! Upstreams that record each arrival, and refuse some requests whoever brings them.

use std::io::BufRead;
use std::io::BufReader;
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

/// Requests with lower ids are no callers' and are not recorded.
pub(super) const FIRST_ID: u64 = 0x1000;

pub(super) struct Upstream {
    pub(super) address: String,
    pub(super) arrivals: Arc<Mutex<Vec<(Instant, String)>>>,
    /// Whether it reads nothing.
    pub(super) is_stopped: Arc<AtomicBool>,
}

impl Upstream {
    /// Starts an upstream that refuses the ids of which the rest by ten is below `refused`.
    pub(super) fn start(refused: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let upstream = Self { address, arrivals: Arc::default(), is_stopped: Arc::default() };
        let (arrivals, is_stopped) =
            (Arc::clone(&upstream.arrivals), Arc::clone(&upstream.is_stopped));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (arrivals, is_stopped) = (Arc::clone(&arrivals), Arc::clone(&is_stopped));
                thread::spawn(move || serve(&stream, refused, &arrivals, &is_stopped));
            }
        });
        upstream
    }
}

fn serve(
    mut stream: &TcpStream,
    refused: u64,
    arrivals: &Mutex<Vec<(Instant, String)>>,
    is_stopped: &AtomicBool,
) {
    let mut id = String::new();
    for line in BufReader::new(stream).lines().map_while(Result::ok) {
        while is_stopped.load(Ordering::Acquire) {
            thread::sleep(Duration::from_millis(5));
        }
        let line = line.to_lowercase();
        if let Some(text) = line.strip_prefix("hemlockfield-request-id:") {
            text.trim().clone_into(&mut id);
        }
        if !line.is_empty() {
            continue;
        }
        let number = u64::from_str_radix(&id, 16).unwrap_or_default();
        if number >= FIRST_ID {
            arrivals.lock().unwrap().push((Instant::now(), id.clone()));
        }
        let (status, further) = if number >= FIRST_ID && number % 10 < refused {
            ("429 Too Many Requests", "Hemlockfield-Not-Executed: 1")
        } else {
            ("200 OK", "Hemlockfield-Response-Signature: 1")
        };
        let head = format!("content-length: 4\r\nHemlockfield-Request-Id: {id}\r\n{further}");
        if stream.write_all(format!("HTTP/1.1 {status}\r\n{head}\r\n\r\nhull").as_bytes()).is_err()
        {
            return;
        }
    }
}
