//! A connection to an upstream, and one exchange on it.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use async_std::future::timeout;
use async_std::net::TcpStream;
use bytes::Bytes;
use futures::FutureExt;
use futures::pin_mut;
use futures::select;
use http::HeaderName;
use http::HeaderValue;
use http::Method;

use super::Answer;
use super::Body;
use super::BodyError;
use super::Exact;
use super::Failure;
use super::Framing;
use super::Request;
use super::Response;
use super::Tap;
use super::answer::Ending;
use super::clean_response;
use super::head;
use super::response_writer::chunk;

/// Longest head of an answer, in bytes.
const HEAD_MAX: usize = 16 * 1024;
/// A connection that lay idle for less than this was not closed for that: upstreams keep idle
/// ones for several seconds.
const RESTED: Duration = Duration::from_secs(3);
/// Largest answer that is received whole before it is passed on, in bytes: a cut one can
/// then be told as a failure, and an idempotent request be tried again.
const HELD_MAX: u64 = 64 * 1024;

/// Timeouts of one attempt at an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Until the connection is open.
    pub connect: Duration,
    /// From the request's last byte to the first byte of an answer.
    pub first_byte: Duration,
    /// Between two bytes of the body, either way.
    pub idle: Duration,
}

/// An open connection to an upstream.
#[derive(Debug)]
pub struct Connection {
    born: Instant,
    idle_limit: Option<Duration>,
    /// How long it lay idle before it was taken.
    rested: Duration,
    tap: Tap,
    used: u32,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Where nobody answers within `limit`; nothing was sent then.
    pub async fn connect(address: SocketAddr, limit: Duration) -> Result<Self, Failure> {
        let stream = match timeout(limit, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(Failure::Connect(error.to_string())),
            Err(_) => return Err(Failure::Connect(format!("no answer in {limit:?}"))),
        };
        stream.set_nodelay(true).ok();
        Ok(Self {
            born: Instant::now(),
            idle_limit: None,
            rested: Duration::ZERO,
            tap: Tap::new(stream),
            used: 0,
        })
    }

    /// When it was opened.
    pub fn born(&self) -> Instant {
        self.born
    }

    /// How long the upstream keeps it when it lies idle, where it has said so.
    pub fn idle_limit(&self) -> Option<Duration> {
        self.idle_limit
    }

    /// Notes how long it lay idle before it was taken.
    pub(super) fn rested(mut self, span: Duration) -> Self {
        self.rested = span;
        self
    }

    /// Whether it carried a request before.
    pub fn is_used(&self) -> bool {
        self.used > 0
    }

    /// Whether it is open and nothing unasked came on it.
    pub async fn is_quiet(&self) -> bool {
        self.tap.is_quiet().await
    }

    /// Closes it: upstreams take that as a cancellation.
    pub fn close(&self) {
        self.tap.close();
    }

    pub(super) fn has_early(&self) -> bool {
        self.tap.has_early()
    }

    /// Sends a request and waits for its answer. Dropped, it closes the connection.
    ///
    /// # Errors
    ///
    /// Where the answer does not come, is none, or is cut before it could be passed on.
    pub async fn send(mut self, request: Request, timeouts: Timeouts) -> Result<Answer, Failure> {
        let reused = self.used > 0 && self.rested >= RESTED;
        self.used += 1;
        let method = request.method.clone();
        let guard = Guard(Some(self.tap.clone()));
        let (response, sent) = self.exchange(request, timeouts, reused).await?;
        self.idle_limit = head::idle_limit(&response.headers);
        let (response, ending) = self.frame(response, &method, timeouts).await?;
        guard.disarm();
        Ok(Answer { ending, connection: self, response, sent })
    }

    /// The answer's head, and whether the request was sent whole before it came.
    async fn exchange(
        &self,
        request: Request,
        timeouts: Timeouts,
        reused: bool,
    ) -> Result<(Response, bool), Failure> {
        let echo = request.echoed();
        let send = self.write_request(request).fuse();
        let receive = self.head(echo.as_ref(), timeouts, reused).fuse();
        pin_mut!(send, receive);
        let sent = select! {
            sent = send => sent,
            head = receive => return head.map(|head| (head, false)),
        };
        match sent {
            Ok(()) => (),
            Err(SendError::Body(error)) => return Err(Failure::Upload(error.to_string())),
            // An upstream may answer and close before it has read all.
            Err(SendError::Io(error)) => {
                tracing::debug!(target: "hemlockfield::exchange", "upstream reads no more: {error}");
                let response = receive.await?;
                // The write took the news of the reset: the end of such an answer would look
                // like its whole, and the caller would get a part of it as all.
                if head::response_framing(&response)? == Framing::Close {
                    return Err(Failure::Cut(error.to_string()));
                }
                return Ok((response, false));
            }
        }
        match timeout(timeouts.first_byte, receive).await {
            Ok(head) => head.map(|head| (head, true)),
            Err(_) => Err(Failure::Silent(timeouts.first_byte)),
        }
    }

    async fn write_request(&self, request: Request) -> Result<(), SendError> {
        let mut bytes = request.encode();
        let chunked = request.body.len().is_none();
        match request.body {
            Body::Empty => (),
            Body::Buffered(body) => bytes.extend_from_slice(&body),
            Body::Stream(mut exact) => {
                self.tap.write(&bytes).await?;
                while let Some(piece) = exact.next().await? {
                    if chunked {
                        self.tap.write(&chunk(&piece)).await?;
                    } else {
                        self.tap.write(&piece).await?;
                    }
                }
                bytes = if chunked { b"0\r\n\r\n".to_vec() } else { Vec::new() };
            }
        }
        Ok(self.tap.write(&bytes).await?)
    }

    /// The head of the final answer to this request. Interim answers, and answers to other
    /// requests that came late, are passed over.
    async fn head(
        &self,
        echo: Option<&(HeaderName, HeaderValue)>,
        timeouts: Timeouts,
        reused: bool,
    ) -> Result<Response, Failure> {
        loop {
            let bytes = self.tap.head(HEAD_MAX).await;
            let bytes = bytes.map_err(|error| Failure::Malformed(error.to_string()))?;
            let response = Response::parse(&bytes.ok_or(Failure::Closed { reused })?)?;
            let foreign = echo.is_some_and(|(name, value)| {
                response.headers.get(name).is_some_and(|echoed| echoed != value)
            });
            if foreign {
                self.pass_over(&response, timeouts).await?;
            } else if response.status >= 200 {
                return Ok(response);
            }
        }
    }

    async fn pass_over(&self, response: &Response, timeouts: Timeouts) -> Result<(), Failure> {
        let framing = head::response_framing(response)?;
        if framing == Framing::Close {
            return Err(Failure::Malformed("an answer to another request".to_owned()));
        }
        let mut exact = Exact::new(self.tap.clone(), framing, u64::MAX, timeouts.idle);
        exact.read_all().await.map(drop).map_err(|error| Failure::Cut(error.to_string()))
    }

    async fn frame(
        &self,
        mut response: Response,
        method: &Method,
        timeouts: Timeouts,
    ) -> Result<(Response, Ending), Failure> {
        let keep = !head::says_close(&response.headers);
        let framing = head::response_framing(&response)?;
        let bodiless = *method == Method::HEAD || matches!(response.status, 204 | 304);
        clean_response(&mut response);
        let framing = if bodiless { Framing::Length(0) } else { framing };
        let mut exact = Exact::new(self.tap.clone(), framing, u64::MAX, timeouts.idle);
        let ending = Ending::new(&exact, keep && framing != Framing::Close);
        match framing {
            Framing::Length(length) if length <= HELD_MAX => {
                let body = exact.read_all().await;
                response.body =
                    Body::Buffered(body.map_err(|error| Failure::Cut(error.to_string()))?);
            }
            Framing::Close => response.body = self.until_close(exact).await?,
            Framing::Chunked | Framing::Length(_) => {
                response.body = Body::Stream(Box::new(exact));
            }
        }
        Ok((response, ending))
    }

    /// A body that ends with its connection is held where it fits, so that it can be passed
    /// on with its length.
    async fn until_close(&self, mut exact: Exact) -> Result<Body, Failure> {
        let mut held = Vec::new();
        loop {
            let piece = exact.next().await.map_err(|error| Failure::Cut(error.to_string()))?;
            let Some(piece) = piece else { return Ok(held.into()) };
            held.extend_from_slice(&piece);
            if held.len() as u64 > HELD_MAX {
                exact.unread(Bytes::from(held));
                return Ok(Body::Stream(Box::new(exact)));
            }
        }
    }
}

/// Why a request could not be sent.
enum SendError {
    /// Its body did not come from the caller.
    Body(BodyError),
    /// The upstream took no more of it.
    Io(io::Error),
}

impl From<BodyError> for SendError {
    fn from(error: BodyError) -> Self {
        Self::Body(error)
    }
}

impl From<io::Error> for SendError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// Closes a connection whose exchange did not end: the upstream would work on.
struct Guard(Option<Tap>);

impl Guard {
    fn disarm(mut self) {
        self.0 = None;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if let Some(tap) = &self.0 {
            tap.close();
        }
    }
}
