//! Requests that an entry passes on to another one, which stands still.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

use super::fleet::wait_for;
use super::site::CONTROLS;
use super::site::FRONT;
use super::site::Layout;
use super::site::Site;

/// Entries of the site.
const ENTRIES: usize = 9;
/// Limits by which controls name a few of the entries to callers.
const LIMITS: &str = "{connect: 250ms, link: \"1000\", processor: \"0.2\", proven: 1500ms}";
const CALLERS: usize = 12;
/// The route's timeout, and how much later an answer may come.
const TIMEOUT: Duration = Duration::from_millis(1_500);
const SLACK: Duration = Duration::from_millis(500);
/// Time for which callers wait.
const DEADLINE: Duration = Duration::from_secs(3);
/// Time within which the list of entries for callers has settled.
const SETTLED: Duration = Duration::from_secs(4);
/// Far more than the sockets between two processes hold.
const LARGE: usize = 12 << 20;
const CONFIGURATION: &str = r#"{"version":"1","services":[{"name":"hull"}],"hosts":[{"host":"yard.example","paths":[
    {"name":"file","pathPrefix":"/file/","routeType":"upload","service":"hull","timeoutS":1.5,"maxAttempts":2},
    {"name":"sign","pathPrefix":"/sign/","routeType":"unsafe","service":"hull","timeoutS":1.5,"maxAttempts":2},
    {"name":"look","pathPrefix":"/look/","routeType":"safe","service":"hull","timeoutS":1.5,"maxAttempts":2}]}]}"#;

/// An upstream that answers each request on a connection of its own, until it ends.
struct Upstream {
    address: String,
    has_ended: Arc<AtomicBool>,
    server: JoinHandle<()>,
}

impl Upstream {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let has_ended = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&has_ended);
        let server = thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if flag.load(Ordering::Acquire) {
                    return;
                }
                serve(&stream);
            }
        });
        Self { address, has_ended, server }
    }

    fn end(self) {
        self.has_ended.store(true, Ordering::Release);
        TcpStream::connect(&self.address).unwrap();
        self.server.join().unwrap();
    }
}

fn serve(mut stream: &TcpStream) {
    let mut reader = BufReader::new(stream);
    let mut length = 0;
    let mut id = String::new();
    let mut line = String::new();
    while reader.read_line(&mut line).unwrap_or(0) > 2 {
        let (name, value) = line.split_once(':').unwrap_or_default();
        match name.to_lowercase().as_str() {
            "content-length" => length = value.trim().parse().unwrap(),
            "hemlockfield-request-id" => id = value.trim().to_owned(),
            _ => (),
        }
        line.clear();
    }
    reader.read_exact(&mut vec![0; length]).ok();
    let head = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 4\r\n";
    let stamps = format!("Hemlockfield-Request-Id: {id}\r\nHemlockfield-Response-Signature: 1");
    write!(stream, "{head}{stamps}\r\n\r\nhull").ok();
}

/// Sends a request with a body; the status, 0 without one, and the time that it took.
fn call(address: &str, line: &str, size: usize) -> (u16, Duration) {
    let started = Instant::now();
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(DEADLINE)).unwrap();
    let mut writer = stream.try_clone().unwrap();
    let head = format!(
        "{line} HTTP/1.1\r\nhost: yard.example\r\nconnection: close\r\ncontent-length: {size}\r\n\
         Hemlockfield-Request-Id: 7\r\nHemlockfield-Deadline-Ms: {}\r\n\r\n",
        DEADLINE.as_millis()
    );
    thread::spawn(move || {
        writer.write_all(head.as_bytes()).ok();
        writer.write_all(&vec![7; size]).ok();
    });
    let mut answer = [0; 12];
    let is_read = stream.read_exact(&mut answer).is_ok();
    let status = std::str::from_utf8(&answer[9..]).unwrap().parse().unwrap_or(0);
    stream.shutdown(std::net::Shutdown::Both).ok();
    (if is_read { status } else { 0 }, started.elapsed())
}

// Requests that were passed on to an entry that stands still were answered by nobody at their deadline.
#[rstest]
#[case::lookup("GET /look/1", 0)]
#[case::unsafe_request("POST /sign/1", 700)]
#[case::upload("POST /file/1", 700)]
#[case::large_upload("POST /file/1", LARGE)]
fn pass_on_entry_frozen(#[case] line: &'static str, #[case] size: usize) {
    let order: Vec<usize> = (0..CONTROLS + ENTRIES).collect();
    let site =
        Site::start_with(Layout { entries: ENTRIES, limits: LIMITS, ..Layout::default() }, &order);
    wait_for("a configuration", || (0..CONTROLS).any(|at| site.submit_document(at, CONFIGURATION)));
    let upstream = Upstream::start();
    wait_for("the upstream", || site.announce_address("i-1", &upstream.address));
    let front = |entry: usize| format!("{}:{FRONT}", site.ip(CONTROLS + entry));
    for entry in 0..ENTRIES {
        wait_for("an answer", || call(&front(entry), "POST /file/1", 10).0 == 200);
    }
    thread::sleep(SETTLED);
    let resolve = "GET /hemlockfield/resolve?name=yard.example&region=here&zone=north";
    let named = site.order(0, resolve, "").1;
    let mut listed = (0..ENTRIES).filter(|entry| named.contains(&format!("\"{}\"", front(*entry))));
    let (used, frozen) = (listed.next().unwrap(), listed.next().unwrap());
    upstream.end();
    thread::sleep(Duration::from_millis(300));
    site.signal(CONTROLS + frozen, "STOP");
    let callers = (0..CALLERS).map(|_| {
        let address = front(used);
        thread::sleep(Duration::from_millis(30));
        thread::spawn(move || call(&address, line, size))
    });
    let callers: Vec<_> = callers.collect();
    let answers: Vec<_> = callers.into_iter().map(|caller| caller.join().unwrap()).collect();
    let is_late = |limit: Duration| {
        answers.iter().filter(|(status, after)| *status == 0 || *after > limit).count()
    };
    assert!(is_late(TIMEOUT - SLACK) > 0, "none was passed on to the entry that stands still");
    assert_eq!(is_late(TIMEOUT + SLACK), 0);
}
