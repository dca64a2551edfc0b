//! Stand-ins for what surrounds the fleet: callers, operators and upstreams, by the platform's
//! protocol.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use socket2::Domain;
use socket2::Socket;
use socket2::Type;

/// Long enough for a caller, short enough for a test.
const PATIENCE: Duration = Duration::from_secs(3);

/// A stand-in for an upstream, by the platform's protocol.
pub(crate) struct Upstream {
    pub(crate) address: String,
    behaviour: Arc<Mutex<Behaviour>>,
}

#[derive(Default)]
struct Behaviour {
    arrivals: Vec<Instant>,
    /// Further lines of the heads of its answers.
    lines: &'static str,
    /// Requests per second that it takes from all entries together, if it names a limit.
    limit: Option<f64>,
}

impl Upstream {
    pub(crate) fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let behaviour = Arc::new(Mutex::new(Behaviour::default()));
        let shared = Arc::clone(&behaviour);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let behaviour = Arc::clone(&shared);
                thread::spawn(move || answer(&stream, &behaviour));
            }
        });
        Self { address, behaviour }
    }

    pub(crate) fn set_limit(&self, limit: Option<f64>) {
        self.behaviour.lock().unwrap().limit = limit;
    }

    pub(crate) fn set_lines(&self, lines: &'static str) {
        self.behaviour.lock().unwrap().lines = lines;
    }

    /// Requests that arrived within the last `span`.
    pub(crate) fn count_arrivals(&self, span: Duration) -> usize {
        let behaviour = self.behaviour.lock().unwrap();
        behaviour.arrivals.iter().filter(|at| at.elapsed() < span).count()
    }
}

fn answer(stream: &TcpStream, behaviour: &Mutex<Behaviour>) {
    let mut reader = BufReader::new(stream);
    let mut id = String::new();
    let mut line = String::new();
    while reader.read_line(&mut line).is_ok_and(|count| count > 0) {
        let lower = line.trim().to_lowercase();
        if let Some(text) = lower.strip_prefix("hemlockfield-request-id:") {
            id = text.trim().to_owned();
        }
        if lower.is_empty() {
            let (limit, lines) = {
                let mut behaviour = behaviour.lock().unwrap();
                behaviour.arrivals.push(Instant::now());
                let limit = behaviour.limit.map(|limit| format!("Server-Limit: {limit}\r\n"));
                (limit, behaviour.lines)
            };
            let limit = limit.unwrap_or_default();
            let text = format!(
                "HTTP/1.1 200 OK\r\ncontent-length: 4\r\nHemlockfield-Request-Id: {id}\r\n{limit}{lines}\
                 Hemlockfield-Response-Signature: 1\r\n\r\nhull"
            );
            if (&mut &*stream).write_all(text.as_bytes()).is_err() {
                return;
            }
        }
        line.clear();
    }
}

/// Value of a metric of the process that serves its metrics at an address.
pub(crate) fn metric(address: &str, kind: &str) -> usize {
    let (_, text) = ask(address, "GET /metrics", "", "");
    let wanted = format!("{{kind=\"{kind}\"}} ");
    let line = text.lines().find_map(|line| Some(line.split_once(&wanted)?.1.to_owned()));
    line.map_or(0, |value| value.parse().unwrap())
}

/// Status and body of an answer; 0 where there is none.
pub(crate) fn ask(address: &str, line: &str, headers: &str, body: &str) -> (u16, String) {
    ask_on(TcpStream::connect(address), line, headers, body)
}

/// Status and body of an answer to a caller with a loopback address of its own; 0 where there is none.
pub(crate) fn ask_from(
    caller: Ipv4Addr,
    address: &str,
    line: &str,
    headers: &str,
    body: &str,
) -> (u16, String) {
    ask_on(connect_from(caller, address), line, headers, body)
}

/// Opens a connection from a loopback address of the caller's own.
pub(crate) fn connect_from(caller: Ipv4Addr, address: &str) -> io::Result<TcpStream> {
    let address: SocketAddr = address.parse().map_err(io::Error::other)?;
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.bind(&SocketAddr::from((caller, 0)).into())?;
    socket.connect(&address.into())?;
    Ok(socket.into())
}

fn ask_on(stream: io::Result<TcpStream>, line: &str, headers: &str, body: &str) -> (u16, String) {
    let mut text = String::new();
    let asked = stream.and_then(|mut stream| {
        stream.set_read_timeout(Some(PATIENCE))?;
        let length = body.len();
        let head = format!(
            "{line} HTTP/1.1\r\nhost: yard.example\r\nconnection: close\r\n\
             content-length: {length}\r\n{headers}\r\n{body}"
        );
        stream.write_all(head.as_bytes())?;
        stream.read_to_string(&mut text)
    });
    let status = text.split(' ').nth(1).and_then(|status| status.parse().ok());
    let body = text.split("\r\n\r\n").nth(1).unwrap_or_default().to_owned();
    (asked.ok().and(status).unwrap_or(0), body)
}
