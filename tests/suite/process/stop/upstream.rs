//! Upstreams that work for a while on each request, and know which ones they got.

use std::collections::BTreeMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

/// Arrivals of each request at all upstreams of a test.
pub(super) struct Upstream {
    pub(super) address: String,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    /// Arrivals by request.
    arrived: BTreeMap<u64, u32>,
    /// Time after which requests fail, if they do.
    fails_after: Option<Duration>,
}

impl Upstream {
    pub(super) fn start(work: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = Arc::clone(&shared);
                thread::spawn(move || serve(&stream, work, &state));
            }
        });
        Self { address, state }
    }

    /// Whether a request has arrived.
    pub(super) fn has(&self, id: u64) -> bool {
        self.state.lock().unwrap().arrived.contains_key(&id)
    }

    pub(super) fn forget(&self) {
        self.state.lock().unwrap().arrived.clear();
    }

    /// Has requests end without an answer after this time.
    pub(super) fn fail_first(&self, after: Duration) {
        self.state.lock().unwrap().fails_after = Some(after);
    }
}

fn serve(mut stream: &TcpStream, work: Duration, state: &Mutex<State>) {
    let mut reader = BufReader::new(stream);
    while let Some((id, length)) = read_head(&mut reader) {
        // What an upstream has begun to read counts as handed on.
        let fails_after = {
            let mut state = state.lock().unwrap();
            *state.arrived.entry(id).or_default() += 1;
            state.fails_after
        };
        if reader.read_exact(&mut vec![0; length]).is_err() {
            return;
        }
        if let Some(after) = fails_after {
            return thread::sleep(after);
        }
        thread::sleep(work);
        let head =
            format!("content-length: 4\r\nconnection: close\r\nHemlockfield-Request-Id: {id:x}");
        let answer =
            format!("HTTP/1.1 200 OK\r\n{head}\r\nHemlockfield-Response-Signature: 1\r\n\r\nhull");
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Id of the next request and the length of its body; `None` at the end of the connection.
fn read_head(reader: &mut BufReader<&TcpStream>) -> Option<(u64, usize)> {
    let (mut id, mut length) = (0, 0);
    let mut line = String::new();
    while reader.read_line(&mut line).ok()? > 0 {
        let lower = line.trim().to_lowercase();
        if lower.is_empty() {
            return Some((id, length));
        }
        if let Some(text) = lower.strip_prefix("hemlockfield-request-id:") {
            id = u64::from_str_radix(text.trim(), 16).unwrap_or_default();
        }
        if let Some(text) = lower.strip_prefix("content-length:") {
            length = text.trim().parse().unwrap_or_default();
        }
        line.clear();
    }
    None
}
