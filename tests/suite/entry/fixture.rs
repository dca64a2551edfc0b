//! A process with control and entry, raw callers, and scripted upstreams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use hemlockfield::config::Version;
use hemlockfield::node::Node;
use hemlockfield::settings::Settings;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;
use tempfile::TempDir;

/// Default rules: idempotent lookups, requests that run at most once with and without an
/// idempotency key, and uploads.
pub(super) const RULES: &str = "
services:
  hull-register: {floor: 50%, sensitivity: 0.5}
  cert-office: {floor: 50%}
rules:
  - name: keyed
    when: {path: /keyed/*, method: POST}
    then:
      route: {service: hull-register}
      terms: {deadline: 3s, idempotent: false, key: {header: Idempotency-Key}}
  - name: sign-off
    when: {path: /findings/*, method: POST}
    then: {route: {service: hull-register}, terms: {deadline: 2s, idempotent: false}}
  - name: upload
    when: {path: /gauging/*}
    then:
      route: {service: hull-register}
      terms: {deadline: 60s, idempotent: false, long: true, body: 1GiB}
  - name: closed
    when: {path: /closed/*}
    then: {refuse: {status: 410, message: closed for good}}
  - name: nobody
    when: {path: /certificates/*}
    then: {route: {service: cert-office}, terms: {deadline: 2s, idempotent: true}}
  - name: lookup
    when: {path: /hulls/*}
    then: {route: {service: hull-register}, terms: {deadline: 2s, idempotent: true}}
";

/// How a scripted upstream handles each connection.
#[derive(Clone, Copy)]
pub(super) enum Script {
    /// Reads the whole request, answers with the length of its body and closes the connection.
    AnswerLength,
    /// Answers with 413 before reading the body, and never reads it.
    AnswerEarly,
    /// Answers before reading the body, then reads it.
    AnswerThenRead,
    /// Listens nowhere: connections are refused.
    Absent,
    /// Reads the head and closes the connection.
    HangUp,
    /// Reads the head, never answers, and records when the other end closes the connection.
    Hold,
    /// Answers once it has received this many requests.
    AnswerTogether(usize),
    /// Reads the head, writes these bytes and closes the connection.
    Write(&'static str),
    /// Reads the head, writes these bytes and keeps the connection open.
    WriteAndHold(&'static str),
}

/// What all scripted upstreams have received.
#[derive(Default)]
pub(super) struct Received {
    /// Body bytes received, by connection.
    pub(super) bodies: Vec<usize>,
    /// Connections that the other end closed.
    pub(super) closed: usize,
    /// Connections that were opened.
    pub(super) connections: usize,
    /// Request heads.
    pub(super) heads: Vec<String>,
    /// Bodies within which the other end reset the connection.
    pub(super) resets: usize,
}

pub(super) struct Fixture {
    _folder: TempDir,
    pub(super) node: Node,
    pub(super) received: Arc<Mutex<Received>>,
}

impl Fixture {
    /// Starts the process with the default rules, and one upstream for each script.
    pub(super) async fn start(scripts: &[Script]) -> Self {
        Self::start_with_rules(RULES, scripts).await
    }

    /// Starts the process with these rules, and one upstream for each script.
    pub(super) async fn start_with_rules(rules: &str, scripts: &[Script]) -> Self {
        let folder = TempDir::new().unwrap();
        let text = format!(
            "node: {{id: only, region: regensburg, failure_domain: halle-nord}}\n\
             roles: [control, entry]\n\
             listen: {{callers: '127.0.0.1:1', operators: '127.0.0.1:2', links: '127.0.0.1:3'}}\n\
             data: {}\n",
            folder.path().join("data").display()
        );
        let mut settings = Settings::parse("only", &text).unwrap();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        settings.listen.callers = Some(any);
        settings.listen.operators = Some(any);
        settings.listen.links = any;
        let node = Node::start(settings, true).await.unwrap();
        while !node.submit(Version::new(1, "first".into(), rules)).await {}
        while node.configuration_number() != Some(1) {
            task::sleep(Duration::from_millis(10)).await;
        }
        let received = Arc::new(Mutex::new(Received::default()));
        for (at, script) in scripts.iter().enumerate() {
            let address = upstream(*script, Arc::clone(&received)).await;
            announce(node.operator_address(), address, &format!("hull-{at}")).await;
        }
        while node.upstream_count("hull-register") < scripts.len() {
            task::sleep(Duration::from_millis(10)).await;
        }
        Self { _folder: folder, node, received }
    }

    /// Submits new rules and waits until they are in force.
    pub(super) async fn configure(&self, number: u64, rules: &str) {
        let version = Version::new(number, format!("submission-{number}").into(), rules);
        while !self.node.submit(version.clone()).await {}
        while self.node.configuration_number() != Some(number) {
            task::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Sends raw bytes as a caller and reads until the entry closes the connection.
    pub(super) async fn send(&self, bytes: &[u8]) -> String {
        let mut stream = self.connect().await;
        stream.write_all(bytes).await.ok();
        read_all(&mut stream).await
    }

    pub(super) async fn get(&self, path: &str) -> String {
        self.send(format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n").as_bytes())
            .await
    }

    pub(super) async fn post(&self, path: &str, headers: &str, body: &str) -> String {
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n{headers}content-length: {}\r\n",
            body.len()
        );
        self.send(format!("{head}\r\n{body}").as_bytes()).await
    }

    pub(super) async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.node.caller_address().unwrap()).await.unwrap()
    }

    pub(super) fn request_count(&self) -> usize {
        self.received.lock().unwrap().heads.len()
    }
}

pub(super) async fn read_all(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.ok();
    String::from_utf8_lossy(&answer).into_owned()
}

pub(super) async fn announce(operators: SocketAddr, address: SocketAddr, name: &str) {
    let body = format!(
        r#"{{"address":"{address}","connections":400,"domain":"halle-nord","incarnation":1,
        "lease":{{"secs":60,"nanos":0}},"service":"hull-register","slots":4,"state":"ready",
        "upstream":"{name}","warm_up":{{"secs":0,"nanos":0}}}}"#
    );
    let mut stream = TcpStream::connect(operators).await.unwrap();
    let head = format!(
        "POST /v1/upstreams HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(format!("{head}{body}").as_bytes()).await.unwrap();
    let answer = read_all(&mut stream).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

async fn upstream(script: Script, received: Arc<Mutex<Received>>) -> SocketAddr {
    if matches!(script, Script::Absent) {
        return absent_address();
    }
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            received.lock().unwrap().connections += 1;
            task::spawn(run_script(stream, script, Arc::clone(&received)));
        }
    });
    address
}

/// An address that nobody listens on, nor will: it stays bound until the tests end.
fn absent_address() -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    std::mem::forget(socket);
    address
}

async fn run_script(mut stream: TcpStream, script: Script, received: Arc<Mutex<Received>>) {
    let Some(head) = read_head(&mut stream).await else { return };
    if head.starts_with("GET /health ") {
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await.ok();
        return;
    }
    received.lock().unwrap().heads.push(head.clone());
    match script {
        Script::AnswerLength => {
            let (length, end) = read_body(&mut stream, &head).await;
            received.lock().unwrap().resets += usize::from(end == End::Reset);
            received.lock().unwrap().bodies.push(length);
            if end == End::Whole {
                let body = length.to_string();
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
                    body.len()
                );
                stream.write_all(answer.as_bytes()).await.ok();
            }
        }
        Script::AnswerEarly => {
            let answer = b"HTTP/1.1 413 Payload Too Large\r\ncontent-length: 4\r\n\r\nmuch";
            stream.write_all(answer).await.ok();
            task::sleep(Duration::from_secs(60)).await;
        }
        Script::AnswerThenRead => {
            let answer = b"HTTP/1.1 202 Accepted\r\ncontent-length: 5\r\n\r\nlater";
            stream.write_all(answer).await.ok();
            let (length, _) = read_body(&mut stream, &head).await;
            received.lock().unwrap().bodies.push(length);
        }
        Script::Absent | Script::HangUp => (),
        Script::Hold => {
            let mut byte = [0];
            while matches!(stream.read(&mut byte).await, Ok(1)) {}
            received.lock().unwrap().closed += 1;
        }
        Script::AnswerTogether(count) => {
            while received.lock().unwrap().heads.len() < count {
                task::sleep(Duration::from_millis(2)).await;
            }
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await.ok();
        }
        Script::Write(text) => drop(stream.write_all(text.as_bytes()).await),
        Script::WriteAndHold(text) => {
            stream.write_all(text.as_bytes()).await.ok();
            stream.read(&mut [0]).await.ok();
        }
    }
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut received = Vec::new();
    let mut byte = [0];
    while !received.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte).await {
            Ok(1) => received.push(byte[0]),
            _ => return None,
        }
    }
    Some(String::from_utf8_lossy(&received).into_owned())
}

/// How a body ended.
#[derive(Clone, Copy, Eq, PartialEq)]
enum End {
    Closed,
    Reset,
    Whole,
}

/// Returns the number of body bytes received and how the body ended.
async fn read_body(stream: &mut TcpStream, head: &str) -> (usize, End) {
    if head.contains("transfer-encoding: chunked") {
        return read_chunks(stream).await;
    }
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let declared: usize = length.map_or(0, |length| length.parse().unwrap());
    let mut buffer = vec![0; 64 * 1024];
    let mut count = 0;
    while count < declared {
        match stream.read(&mut buffer).await {
            Ok(0) => return (count, End::Closed),
            Err(_) => return (count, End::Reset),
            Ok(read) => count += read,
        }
    }
    (count, End::Whole)
}

/// As [`read_body`], for a body in chunks.
async fn read_chunks(stream: &mut TcpStream) -> (usize, End) {
    let mut received = Vec::new();
    let mut buffer = vec![0; 64 * 1024];
    while !received.ends_with(b"0\r\n\r\n") {
        match stream.read(&mut buffer).await {
            Ok(0) => return (decode_chunks(&received), End::Closed),
            Err(_) => return (decode_chunks(&received), End::Reset),
            Ok(read) => received.extend_from_slice(&buffer[..read]),
        }
    }
    (decode_chunks(&received), End::Whole)
}

/// Number of bytes in the chunks that are all there.
fn decode_chunks(mut bytes: &[u8]) -> usize {
    let mut count = 0;
    while let Some(end) = bytes.windows(2).position(|window| window == b"\r\n") {
        let size = std::str::from_utf8(&bytes[..end]).unwrap();
        let size = usize::from_str_radix(size, 16).unwrap();
        let Some(rest) = bytes.get(end + 2 + size + 2..) else { break };
        count += size;
        bytes = rest;
    }
    count
}
