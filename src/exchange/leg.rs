use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use std::time::Instant;

use async_std::future::timeout;
use async_std::io;
use async_std::io::BufReader;
use async_std::io::ReadExt;
use async_std::net::TcpStream;
use futures::FutureExt;
use futures::pin_mut;
use futures::select;
use http_types::Body;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::headers::CONNECTION;
use http_types::headers::CONTENT_LENGTH;
use http_types::headers::TRANSFER_ENCODING;

use super::Answer;
use super::Exact;
use super::Failure;
use super::Tap;
use super::clean_response;
use super::payload::HELD_MAX;

/// Time limits of one attempt at an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Until the connection is open.
    pub connect: Duration,
    /// From the request's last byte to the first byte of an answer.
    pub first_byte: Duration,
    /// Between two bytes of the body, either way.
    pub idle: Duration,
}

/// A connection to an upstream, which carries one exchange at a time.
#[derive(Debug)]
pub struct Leg {
    born: Instant,
    tap: Tap,
    used: u32,
}

impl Leg {
    /// Opens a connection.
    pub async fn dial(address: SocketAddr, limit: Duration) -> Result<Self, Failure> {
        let stream = match timeout(limit, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(Failure::Connect(error.to_string())),
            Err(_) => return Err(Failure::Connect(format!("no answer in {limit:?}"))),
        };
        stream.set_nodelay(true).ok();
        Ok(Self { born: Instant::now(), tap: Tap::new(stream), used: 0 })
    }

    /// When the connection was opened.
    pub fn born(&self) -> Instant {
        self.born
    }

    /// Whether the connection may be used again now.
    pub async fn is_quiet(&self) -> bool {
        self.tap.is_quiet().await
    }

    /// Closes it; the upstream takes that as cancellation.
    pub fn close(&self) {
        self.tap.close();
    }

    pub(super) fn has_early(&self) -> bool {
        self.tap.has_early()
    }

    /// Sends `request` and reads the answer's head, and its body where that is small.
    pub async fn ask(mut self, request: Request, limits: Limits) -> Result<Answer, Failure> {
        let reused = self.used > 0;
        self.used += 1;
        let method = request.method();
        let asked = self.exchange(request, limits, reused).await;
        let (response, sent) = match asked {
            Ok(asked) => asked,
            Err(failure) => {
                self.close();
                return Err(failure);
            }
        };
        match self.frame(response, method, limits).await {
            Ok(Framed { broken, complete, keep, response }) => {
                Ok(Answer { broken, complete, keep, leg: self, response, sent })
            }
            Err(failure) => {
                self.close();
                Err(failure)
            }
        }
    }

    /// Sends while it listens: an upstream may answer before it has read the whole
    /// upload, and may then never read the rest. Tells whether all was sent.
    async fn exchange(
        &self,
        request: Request,
        limits: Limits,
        reused: bool,
    ) -> Result<(Response, bool), Failure> {
        self.tap.next_message();
        let has_body = request.len() != Some(0);
        let mut writer = self.tap.clone();
        let mut encoder = async_h1::client::Encoder::new(request);
        let send = async move { io::copy(&mut encoder, &mut writer).await }.fuse();
        let receive = self.head().fuse();
        pin_mut!(send, receive);
        let sent = select! {
            sent = send => sent,
            head = receive => return self.read(head, reused).map(|head| (head, false)),
        };
        if let Err(error) = sent {
            return Err(self.send_failure(&error, has_body, reused));
        }
        match timeout(limits.first_byte, receive).await {
            Ok(head) => self.read(head, reused).map(|head| (head, true)),
            Err(_) => Err(Failure::Silent(limits.first_byte)),
        }
    }

    fn read(&self, head: http_types::Result<Response>, reused: bool) -> Result<Response, Failure> {
        head.map_err(|error| match self.tap.fault() {
            Some(fault) => Failure::Malformed(fault.to_string()),
            None if self.tap.head_len() == 0 => Failure::Closed { reused },
            None => Failure::Malformed(error.to_string()),
        })
    }

    /// Reads a head, passing over interim ones: taken for the answer, a `100` would
    /// reach the caller and the real answer the next one.
    async fn head(&self) -> http_types::Result<Response> {
        loop {
            let response = async_h1::client::decode(self.tap.clone()).await?;
            if !response.status().is_informational() {
                return Ok(response);
            }
            self.tap.next_message();
        }
    }

    fn send_failure(&self, error: &io::Error, has_body: bool, reused: bool) -> Failure {
        let callers = matches!(
            error.kind(),
            io::ErrorKind::UnexpectedEof
                | io::ErrorKind::TimedOut
                | io::ErrorKind::InvalidData
                | io::ErrorKind::FileTooLarge
        );
        if has_body && callers {
            return Failure::Upload(error.to_string());
        }
        Failure::Closed { reused }
    }

    /// Frames the body, and receives a small one whole, so that a cut in it is found
    /// while the caller can still be answered.
    async fn frame(
        &self,
        mut response: Response,
        method: Method,
        limits: Limits,
    ) -> Result<Framed, Failure> {
        let keep = !says_close(&response);
        let chunked = response.header(TRANSFER_ENCODING).is_some();
        let length = declared(&response)?;
        let status = u16::from(response.status());
        let bodiless = method == Method::Head || status == 204 || status == 304;
        let source = response.take_body().into_reader();
        clean_response(&mut response);
        if bodiless {
            let exact = Exact::new(source, Some(0), 0, limits.idle);
            let shown = length.and_then(|length| usize::try_from(length).ok());
            if method == Method::Head && shown.is_some() {
                response.set_body(Body::from_reader(io::empty(), shown));
            }
            return Ok(Framed::new(&exact, keep, response));
        }
        match length {
            Some(length) => self.tap.expect_body(length),
            None if chunked => self.tap.expect_chunks(),
            None => return Err(Failure::Unbounded),
        }
        let mut exact = Exact::new(source, length, u64::MAX, limits.idle);
        let mut framed = Framed::new(&exact, keep, response);
        let response = &mut framed.response;
        let kind = response.header("content-type").map(|values| values.last().as_str().to_owned());
        if let Some(length) = length.filter(|length| *length <= HELD_MAX) {
            let mut bytes = Vec::with_capacity(length as usize);
            let read = exact.read_to_end(&mut bytes).await;
            read.map_err(|error| Failure::Cut(error.to_string()))?;
            response.set_body(Body::from_bytes(bytes));
        } else {
            let shown = length.and_then(|length| usize::try_from(length).ok());
            response.set_body(Body::from_reader(BufReader::new(exact), shown));
        }
        match kind {
            Some(kind) => drop(response.insert_header("content-type", kind)),
            None => drop(response.remove_header("content-type")),
        }
        Ok(framed)
    }
}

/// An answer whose body's end is known.
struct Framed {
    broken: Arc<AtomicBool>,
    complete: Arc<AtomicBool>,
    keep: bool,
    response: Response,
}

impl Framed {
    fn new(exact: &Exact, keep: bool, response: Response) -> Self {
        Self { broken: exact.broken(), complete: exact.complete(), keep, response }
    }
}

fn says_close(response: &Response) -> bool {
    let Some(values) = response.header(CONNECTION) else { return false };
    values.iter().any(|value| value.as_str().to_ascii_lowercase().contains("close"))
}

fn declared(response: &Response) -> Result<Option<u64>, Failure> {
    let Some(values) = response.header(CONTENT_LENGTH) else { return Ok(None) };
    let text = values.last().as_str();
    let digits = text.bytes().all(|byte| byte.is_ascii_digit());
    match text.parse() {
        Ok(length) if digits && values.iter().all(|value| value == text) => Ok(Some(length)),
        _ => Err(Failure::Malformed(format!("content-length {text}"))),
    }
}
