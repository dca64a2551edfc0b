//! Upstreams that end under fatal requests.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::plan::Ending;
use super::plan::FATAL_LINE;
use super::plan::IMPATIENCE;
use super::plan::LEAVES_AFTER;
use super::plan::Plan;
use super::plan::SLOW_WORK;
use super::plan::Sender;
use super::plan::WORK;

/// How long an upstream goes on after it has begun an answer that it will not end.
const BEGUN: Duration = Duration::from_millis(20);
/// For how much longer than its caller waits an upstream works on a request that ends it late.
const LATER: Duration = Duration::from_millis(200);

/// What upstreams count of fatal requests.
#[derive(Default)]
pub(super) struct Counts {
    /// When upstreams ended.
    pub(super) ends: Mutex<Vec<Instant>>,
    /// When a fatal request arrived.
    pub(super) fatal: Mutex<Vec<Instant>>,
}

/// Starts an upstream that ends under fatal requests, and is back after some time.
pub(super) fn start_upstream(
    plan: Plan,
    address: String,
    counts: &Arc<Counts>,
    announce: impl Fn(usize, &str) + Send + 'static,
) {
    let listener = TcpListener::bind(&address).unwrap();
    let counts = Arc::clone(counts);
    announce(0, &address);
    thread::spawn(move || {
        serve(listener, plan, &counts);
        for start in 1.. {
            counts.ends.lock().unwrap().push(Instant::now());
            thread::sleep(plan.away);
            let listener = TcpListener::bind(&address).unwrap();
            if plan.changes_id {
                announce(start, &address);
            }
            serve(listener, plan, &counts);
        }
    });
}

/// Takes requests until one is fatal; ends all connections then, after the listener.
fn serve(listener: TcpListener, plan: Plan, counts: &Arc<Counts>) {
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
        let (is_over, counts) = (Arc::clone(&is_over), Arc::clone(counts));
        thread::spawn(move || respond(&stream, plan, &is_over, &counts));
    }
    drop(listener);
    streams.iter().for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
}

/// Head of a request, as far as an upstream looks at it.
#[derive(Default)]
struct Head {
    id: String,
    is_fatal: bool,
    length: usize,
}

/// Reads the head of the next request; `None` at the end of the connection.
fn read_head(reader: &mut impl BufRead, plan: Plan) -> Option<Head> {
    let mut head = Head::default();
    let mut path = String::new();
    for line in reader.lines().map_while(Result::ok) {
        if line.is_empty() {
            return Some(head);
        }
        if line.ends_with(" HTTP/1.1") {
            line.split(' ').nth(1).unwrap_or_default().clone_into(&mut path);
            head.is_fatal = path.ends_with("/fatal") && plan.sender != Sender::OneOfPath;
        }
        let lower = line.to_lowercase();
        head.is_fatal |= lower == FATAL_LINE.trim().to_lowercase();
        if let Some(text) = lower.strip_prefix("hemlockfield-request-id:") {
            text.trim().clone_into(&mut head.id);
        }
        if let Some(text) = lower.strip_prefix("content-length:") {
            head.length = text.trim().parse().unwrap();
        }
    }
    None
}

fn respond(stream: &TcpStream, plan: Plan, is_over: &AtomicBool, counts: &Counts) {
    let mut reader = BufReader::new(stream);
    while let Some(head) = read_head(&mut reader, plan) {
        if head.is_fatal {
            counts.fatal.lock().unwrap().push(Instant::now());
            begin_answer(stream, plan.ending, &head);
            is_over.store(true, Ordering::Release);
            return;
        }
        let mut body = vec![0; head.length];
        if reader.read_exact(&mut body).is_err() {
            return;
        }
        thread::sleep(plan.work);
        if is_over.load(Ordering::Acquire) {
            return;
        }
        let answer = answer_head(&head, "4") + "hull";
        if (&mut &*stream).write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn answer_head(head: &Head, length: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\nHemlockfield-Request-Id: {}\r\n\
         Hemlockfield-Response-Signature: 1\r\n\r\n",
        head.id
    )
}

/// Does what an upstream does of a fatal request before it ends.
fn begin_answer(mut stream: &TcpStream, ending: Ending, head: &Head) {
    let part = match ending {
        Ending::Silent | Ending::InUpload => String::new(),
        Ending::InHead => "HTTP/1.1 200 OK\r\nx-begun: 1\r\n".to_owned(),
        Ending::InBody => answer_head(head, "40") + "hull",
        Ending::InLongBody => answer_head(head, "400000") + "hull",
        Ending::Slow => return thread::sleep(SLOW_WORK),
        Ending::Late => return thread::sleep(IMPATIENCE + LATER),
        Ending::Left => return thread::sleep(LEAVES_AFTER + LATER),
    };
    thread::sleep(WORK / 2);
    stream.write_all(part.as_bytes()).ok();
    if !part.is_empty() {
        thread::sleep(BEGUN);
    }
}
