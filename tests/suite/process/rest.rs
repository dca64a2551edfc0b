//! Upstreams of real processes that ask for rest or say that they leave, and count what arrives after it.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
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
    "paths":[{"name":"look","pathPrefix":"/","routeType":"safe","service":"hull","timeoutS":2,"maxAttempts":4}]}]}"#;
const RETRY: &str = "{share: 0.5, burst: 1000, pooled: true, window: 2s}";
const CALLERS: usize = 8;
const PACE: Duration = Duration::from_millis(15);
const SPAN: Duration = Duration::from_secs(5);
/// What was sent before the answer may still arrive for this long.
const ON_ITS_WAY: Duration = Duration::from_millis(500);
/// Time within which an upstream that leaves must get no more requests.
const DRAIN: Duration = Duration::from_secs(2);
/// Requests that one entry may send to an upstream that asked it for rest.
const ALLOWED: usize = 2;

/// What an upstream answers from some moment on.
#[derive(Clone, Copy, Debug)]
enum Answer {
    /// 503 with these lines of a head.
    Rest(&'static str),
    /// 200, and that it leaves.
    Leaving,
    /// 503, not run, and that it leaves.
    LeavingRefused,
    Served,
}

/// A request that arrived: when, from which entry, and whether the answer asked for something.
#[derive(Clone, Debug)]
struct Arrival {
    at: Instant,
    entry: String,
    is_asking: bool,
}

/// An upstream that records what arrives.
struct Upstream {
    address: String,
    answer: Arc<Mutex<Answer>>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Upstream {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let answer = Arc::new(Mutex::new(Answer::Served));
        let arrivals = Arc::default();
        let upstream = Self { address, answer, arrivals };
        let (answer, arrivals) = (Arc::clone(&upstream.answer), Arc::clone(&upstream.arrivals));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (answer, arrivals) = (Arc::clone(&answer), Arc::clone(&arrivals));
                thread::spawn(move || respond(&stream, &answer, &arrivals));
            }
        });
        upstream
    }

    fn set(&self, answer: Answer) {
        *self.answer.lock().unwrap() = answer;
    }

    /// Most requests that arrived from one entry from `after` an answer that asked for something, until
    /// `until` after it.
    fn arrivals_after(&self, after: Duration, until: Duration) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        let asked = arrivals.iter().filter(|it| it.is_asking);
        let later = |asked: &Arrival| {
            let from_same = arrivals.iter().filter(|it| it.entry == asked.entry);
            let ages = from_same.map(|it| it.at.saturating_duration_since(asked.at));
            ages.filter(|age| after < *age && *age < until).count()
        };
        asked.map(later).max().unwrap_or(0)
    }
}

/// Records requests and answers them.
fn respond(stream: &TcpStream, answer: &Mutex<Answer>, arrivals: &Mutex<Vec<Arrival>>) {
    let mut id = String::new();
    let mut entry = String::new();
    for line in BufReader::new(stream).lines().map_while(Result::ok) {
        let lower = line.to_lowercase();
        if let Some(text) = lower.strip_prefix("hemlockfield-request-id:") {
            text.trim().clone_into(&mut id);
            entry = text.trim().split('-').next().unwrap_or_default().to_owned();
        }
        if !line.is_empty() {
            continue;
        }
        let answer = *answer.lock().unwrap();
        let is_asking = !matches!(answer, Answer::Served);
        arrivals.lock().unwrap().push(Arrival {
            at: Instant::now(),
            entry: entry.clone(),
            is_asking,
        });
        let (status, lines) = match answer {
            Answer::Served => ("200 OK", ""),
            Answer::Leaving => ("200 OK", "Server-Leaving: 1\r\n"),
            Answer::LeavingRefused => {
                ("503 No", "Server-Leaving: 1\r\nHemlockfield-Not-Executed: 1\r\n")
            }
            Answer::Rest(lines) => ("503 No", lines),
        };
        let text = format!(
            "HTTP/1.1 {status}\r\ncontent-length: 4\r\nHemlockfield-Request-Id: {id}\r\n\
             Hemlockfield-Response-Signature: 1\r\n{lines}\r\nhull"
        );
        if (&mut &*stream).write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// What upstreams and callers saw in a run.
struct Run {
    /// Status of each answer to a caller, with its time.
    answers: Vec<(u16, Duration)>,
    /// Answers that entries took for a request for rest.
    rests: usize,
    upstreams: Vec<Upstream>,
}

/// A fleet before three upstreams, of which the first ones answer differently after a second; callers
/// send requests all the while.
fn run(answers: &[Answer]) -> Run {
    let site = Site::start_with_retries(RETRY, &[0, 1, 2, 3, 4]);
    let upstreams: Vec<Upstream> = (0..3).map(|_| Upstream::start()).collect();
    wait_for("a configuration", || (0..CONTROLS).any(|at| site.submit_document(at, CONFIGURATION)));
    for (at, upstream) in upstreams.iter().enumerate() {
        wait_for("an upstream", || site.announce_address(&format!("i-{at}"), &upstream.address));
    }
    for entry in 0..ENTRIES {
        wait_for("an answer", || site.look(entry).0 == 200);
    }
    let answered = Mutex::new(Vec::new());
    let started = Instant::now();
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (site, answered) = (&site, &answered);
            scope.spawn(move || {
                let entry = caller % ENTRIES;
                let front = format!("{}:{FRONT}", site.ip(CONTROLS + entry));
                let mut number = 0;
                while started.elapsed() < SPAN {
                    number += 1;
                    let headers = format!(
                        "Hemlockfield-Request-Id: {entry}-{caller}-{number}\r\n\
                         Hemlockfield-Deadline-Ms: 1500\r\n"
                    );
                    let asked = Instant::now();
                    let (status, _) = ask(&front, "GET /hull/1", &headers, "");
                    answered.lock().unwrap().push((status, asked.elapsed()));
                    thread::sleep(PACE);
                }
            });
        }
        thread::sleep(Duration::from_secs(1));
        upstreams.iter().zip(answers).for_each(|(upstream, answer)| upstream.set(*answer));
    });
    let rests = (0..ENTRIES).map(|entry| site.metric(CONTROLS + entry, "upstream.rest")).sum();
    Run { answers: answered.into_inner().unwrap(), rests, upstreams }
}

// An upstream that asked an entry for rest was sent dozens of requests all the same, by first choices,
// retries and trials, and callers were refused beside upstreams that were well.
#[rstest]
#[case::one(1, "Hemlockfield-Not-Executed: 1\r\nRetry-After: 3\r\n", 3_000)]
#[case::two_fractions(2, "Hemlockfield-Not-Executed: 1\r\nRetry-After: 1.5\r\n", 1_500)]
#[case::two_fields(
    1,
    "Hemlockfield-Not-Executed: 1\r\nRetry-After: 1\r\nRetry-After: 3\r\n",
    3_000
)]
fn rest_kept(#[case] count: usize, #[case] lines: &'static str, #[case] millis: u64) {
    let Run { answers, rests, upstreams } = run(&vec![Answer::Rest(lines); count]);
    for upstream in &upstreams[..count] {
        let arrived = upstream.arrivals_after(ON_ITS_WAY, Duration::from_millis(millis));
        assert!(arrived <= ALLOWED, "{arrived} requests in a rest");
    }
    let refused = answers.iter().filter(|(status, _)| *status != 200).count();
    assert_eq!(refused, 0, "of {} requests, beside upstreams that are well", answers.len());
    assert!(rests > 0);
}

// All upstreams rest. Callers must be refused at once, and the upstreams be left alone.
#[test]
fn rest_of_all() {
    let lines = "Hemlockfield-Not-Executed: 1\r\nRetry-After: 3\r\n";
    let Run { answers, upstreams, .. } = run(&[Answer::Rest(lines); 3]);
    for upstream in &upstreams {
        let arrived = upstream.arrivals_after(ON_ITS_WAY, Duration::from_secs(3));
        assert!(arrived <= ALLOWED, "{arrived} requests in a rest");
    }
    let refused = answers.iter().filter(|(status, _)| *status == 503);
    let slowest = refused.clone().map(|(_, time)| *time).max().unwrap_or_default();
    assert!(refused.count() > 100 && slowest < Duration::from_millis(500), "{slowest:?}");
}

// What is no time to wait must neither stop an entry nor keep it from an upstream.
#[test]
fn rest_unreadable() {
    let lines = "Hemlockfield-Not-Executed: 1\r\nRetry-After: abc\r\nRetry-After: -1\r\n\
                 Retry-After: nan\r\nRetry-After: inf\r\nRetry-After: 1e300\r\n\
                 Retry-After: Wed, 01 Dec 1999 00:00:00 GMT\r\n";
    let Run { answers, rests, upstreams } = run(&[Answer::Rest(lines)]);
    let arrived = upstreams[0].arrivals_after(ON_ITS_WAY, SPAN);
    assert!(rests == 0 && arrived > 0, "{rests} rests, {arrived} requests");
    assert!(answers.iter().all(|(status, _)| [200, 503].contains(status)));
}

// An upstream that said in its answers that it leaves was sent requests until the table said so too.
#[rstest]
#[case::one(1, Answer::Leaving)]
#[case::two(2, Answer::Leaving)]
#[case::refused(1, Answer::LeavingRefused)]
fn leaving_left(#[case] count: usize, #[case] answer: Answer) {
    let Run { answers, upstreams, .. } = run(&vec![answer; count]);
    for upstream in &upstreams[..count] {
        assert_eq!(upstream.arrivals_after(DRAIN, SPAN), 0, "requests to an upstream that leaves");
    }
    assert!(answers.iter().all(|(status, _)| *status == 200));
}

// All upstreams leave. Callers must be refused at once.
#[test]
fn leaving_all() {
    let Run { answers, upstreams, .. } = run(&[Answer::Leaving; 3]);
    for upstream in &upstreams {
        assert_eq!(upstream.arrivals_after(DRAIN, SPAN), 0, "requests to an upstream that leaves");
    }
    let refused = answers.iter().filter(|(status, _)| *status == 503);
    let slowest = refused.clone().map(|(_, time)| *time).max().unwrap_or_default();
    assert!(refused.count() > 100 && slowest < Duration::from_millis(500), "{slowest:?}");
}
