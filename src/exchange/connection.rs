//! A client connection to an upstream or another HTTP server.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use async_std::future::timeout;
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
use super::BodyReader;
use super::Connector;
use super::Error;
use super::Exchange;
use super::Failure;
use super::Framing;
use super::Network;
use super::Progress;
use super::Request;
use super::Response;
use super::Socket;
use super::answer::Upload;
use super::clean_response;
use super::head;
use super::transmission;
use super::transmission::Transmission;

/// Largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Shortest idle time after which an upstream may have closed a connection for being idle:
/// upstreams keep idle connections open for several seconds.
const MIN_UPSTREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest body of an answer that is received completely before it is forwarded, in bytes. If
/// such an answer is cut, the attempt fails visibly and an idempotent request can be retried.
const MAX_BUFFERED_BYTES: u64 = 64 * 1024;

/// Most bytes of late answers to other requests, and most heads of those and of interim answers, that
/// are skipped before an answer. An upstream sends one or two; more never end.
const MAX_SKIPPED_BYTES: u64 = 256 * 1024;
const MAX_SKIPPED_HEADS: usize = 16;

/// Lowest status of an answer by which an upstream refuses a request.
const FIRST_ERROR_STATUS: u16 = 400;

/// Timeouts of one attempt at an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// For opening the connection.
    pub connect: Duration,
    /// From sending the last byte of the request to receiving the head of the answer.
    pub first_byte: Duration,
    /// Between two reads of the answer's body.
    pub idle: Duration,
}

/// An open connection, which carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    opened_at: Instant,
    idle_limit: Option<Duration>,
    /// How long it was idle in the pool before this use.
    idle_before_use: Duration,
    socket: Socket,
    request_count: u32,
}

impl Connection {
    /// Opens a connection over the network of this VM.
    ///
    /// # Errors
    ///
    /// If the connection is refused or not open within `limit`; nothing was sent then.
    pub async fn connect(address: SocketAddr, limit: Duration) -> Result<Self, Failure> {
        Self::open(&Network, address, limit).await
    }

    /// Opens a connection with `connector`.
    ///
    /// # Errors
    ///
    /// If the connection is refused or not open within `limit`; nothing was sent then.
    pub async fn open(
        connector: &dyn Connector,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<Self, Failure> {
        let stream = match timeout(limit, connector.connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(Failure::Connect(error.to_string())),
            Err(_) => return Err(Failure::Connect(format!("no answer in {limit:?}"))),
        };
        stream.set_nodelay(true).ok();
        Ok(Self {
            opened_at: Instant::now(),
            idle_limit: None,
            idle_before_use: Duration::ZERO,
            socket: Socket::new(stream),
            request_count: 0,
        })
    }

    /// Time at which it was opened.
    pub fn opened_at(&self) -> Instant {
        self.opened_at
    }

    /// How long the upstream keeps it open while idle, if its last answer said so.
    pub fn idle_limit(&self) -> Option<Duration> {
        self.idle_limit
    }

    /// Records how long it was idle before it was taken from the pool.
    pub(super) fn with_idle_time(mut self, idle: Duration) -> Self {
        self.idle_before_use = idle;
        self
    }

    /// Whether it has carried a request.
    pub fn is_used(&self) -> bool {
        self.request_count > 0
    }

    /// Whether it is open and no unexpected bytes have arrived on it.
    pub async fn is_idle(&self) -> bool {
        self.socket.is_idle().await
    }

    /// Closes it, which cancels a request that is running on it.
    pub fn close(&self) {
        self.socket.close();
    }

    pub(super) fn has_buffered(&self) -> bool {
        self.socket.has_buffered()
    }

    /// Sends a request and receives the answer: a small body completely, a large one as a
    /// stream. An answer may come before the request's end; the rest is sent while the answer is
    /// relayed, unless the upstream refuses the request or closes the connection. Dropping the
    /// future closes the connection, which cancels the request.
    ///
    /// # Errors
    ///
    /// If no answer arrives, it can't be parsed, or it is cut before its body is streamed.
    pub async fn send(
        mut self,
        request: Request,
        body: Body,
        timeouts: Timeouts,
    ) -> Result<Answer, Failure> {
        let reused = self.request_count > 0 && self.idle_before_use >= MIN_UPSTREAM_IDLE_TIMEOUT;
        self.request_count += 1;
        let head = request.encode(body.len());
        let transmission = Transmission::new(self.socket.clone(), head, body);
        let mut upload = Upload::new(self.socket.clone(), transmission);
        let echo = request.expected_echo();
        let receive = self.read_head(echo.as_ref(), timeouts, reused);
        let response = send_and_receive(&mut upload.transmission, receive, timeouts).await?;
        upload.is_answered = true;
        self.idle_limit = head::idle_limit(&response.headers);
        if is_last(&response)? || response.status >= FIRST_ERROR_STATUS {
            upload.transmission.break_off();
        }
        let read = self.read_body(response, &request.method, timeouts);
        let (response, progress, keep_alive) = upload.transmission.run_beside(read).await?;
        let exchange = Exchange { connection: self, keep_alive, progress, upload };
        Ok(Answer { exchange, response })
    }

    /// Reads the head of the final answer to this request. Interim answers (1xx) and late
    /// answers to other requests are skipped, up to a limit.
    async fn read_head(
        &self,
        echo: Option<&(HeaderName, HeaderValue)>,
        timeouts: Timeouts,
        reused: bool,
    ) -> Result<Response, Failure> {
        let mut skippable = MAX_SKIPPED_BYTES;
        for _ in 0..=MAX_SKIPPED_HEADS {
            let bytes = self.socket.read_head(MAX_HEAD_BYTES).await;
            let bytes = bytes.map_err(head_failure)?;
            let response = Response::parse(&bytes.ok_or(Failure::Closed { reused })?)?;
            let is_foreign = echo.is_some_and(|(name, value)| {
                response.headers.get(name).is_some_and(|echoed| echoed != value)
            });
            if is_foreign {
                skippable -= self.skip_response(&response, skippable, timeouts).await?;
            } else if response.status >= 200 {
                return Ok(response);
            }
        }
        Err(Failure::Malformed("no answer behind others".to_owned()))
    }

    /// Reads and discards the body of a late answer to another request, of at most `limit` bytes.
    /// Returns their number.
    async fn skip_response(
        &self,
        response: &Response,
        limit: u64,
        timeouts: Timeouts,
    ) -> Result<u64, Failure> {
        let framing = head::response_framing(response)?;
        if framing == Framing::Close {
            return Err(Failure::Malformed("an answer to another request".to_owned()));
        }
        let mut reader = BodyReader::new(self.socket.clone(), framing, limit, timeouts.idle);
        while reader.framed_bytes() <= limit {
            match reader.next().await {
                Ok(Some(_)) => (),
                Ok(None) => return Ok(reader.framed_bytes().min(limit)),
                Err(BodyError::Limit(_)) => break,
                Err(error) => return Err(Failure::Cut(error.to_string())),
            }
        }
        Err(Failure::Malformed("too long an answer to another request".to_owned()))
    }

    /// Reads a small body completely and leaves a large one as a stream. Returns how far the body
    /// is read, and whether the upstream keeps the connection open.
    async fn read_body(
        &self,
        mut response: Response,
        method: &Method,
        timeouts: Timeouts,
    ) -> Result<(Response, Progress, bool), Failure> {
        let keep_alive = !head::says_close(&response.headers);
        let framing = head::response_framing(&response)?;
        let bodiless = *method == Method::HEAD || matches!(response.status, 204 | 304);
        clean_response(&mut response);
        let framing = if bodiless { Framing::Length(0) } else { framing };
        let mut reader = BodyReader::new(self.socket.clone(), framing, u64::MAX, timeouts.idle);
        let progress = reader.progress();
        let keep_alive = keep_alive && framing != Framing::Close;
        match framing {
            Framing::Length(length) if length <= MAX_BUFFERED_BYTES => {
                let body = reader.read_all().await;
                response.body =
                    Body::Buffered(body.map_err(|error| Failure::Cut(error.to_string()))?);
            }
            Framing::Close => response.body = self.read_until_close(reader).await?,
            Framing::Chunked | Framing::Length(_) => {
                response.body = Body::Stream(Box::new(reader));
            }
        }
        Ok((response, progress, keep_alive))
    }

    /// Reads a body that ends with its connection. It is buffered if it is small enough, so that
    /// it can be forwarded with its length.
    async fn read_until_close(&self, mut reader: BodyReader) -> Result<Body, Failure> {
        let mut buffered = Vec::new();
        loop {
            let bytes = reader.next().await.map_err(|error| Failure::Cut(error.to_string()))?;
            let Some(bytes) = bytes else { return Ok(buffered.into()) };
            buffered.extend_from_slice(&bytes);
            if buffered.len() as u64 > MAX_BUFFERED_BYTES {
                reader.push_back(Bytes::from(buffered));
                return Ok(Body::Stream(Box::new(reader)));
            }
        }
    }
}

/// Why no head of an answer could be read.
fn head_failure(error: Error) -> Failure {
    match error {
        Error::Incomplete => Failure::Cut(error.to_string()),
        error => Failure::Malformed(error.to_string()),
    }
}

/// Whether the upstream closes the connection after this response. Nothing may be written while such
/// a response is read: a write would consume the error of a reset, and a body that ends with the
/// connection would look complete.
fn is_last(response: &Response) -> Result<bool, Failure> {
    let ends_by_close = head::response_framing(response)? == Framing::Close;
    Ok(ends_by_close || head::says_close(&response.headers))
}

/// Writes a request and receives the head of its answer, which may come before the request's end.
async fn send_and_receive(
    transmission: &mut Transmission,
    receive: impl Future<Output = Result<Response, Failure>>,
    timeouts: Timeouts,
) -> Result<Response, Failure> {
    let receive = receive.fuse();
    pin_mut!(receive);
    let sent = {
        let run = transmission.run().fuse();
        pin_mut!(run);
        select! {
            sent = run => sent,
            head = receive => return head,
        }
    };
    match sent {
        Ok(()) => (),
        Err(transmission::Error::Body(error)) => return Err(Failure::Upload(error.to_string())),
        // An upstream may answer and close before it has read the whole request.
        Err(transmission::Error::Io(error)) => {
            tracing::debug!(target: "hemlockfield::exchange", "upstream reads no more: {error}");
            let response = receive.await?;
            // The failed write has consumed the socket's reset error, so that reads now end
            // as after a regular close. For an answer that ends by close, a truncated body
            // would be taken for a complete one.
            if head::response_framing(&response)? == Framing::Close {
                return Err(Failure::Cut(error.to_string()));
            }
            return Ok(response);
        }
    }
    let head = timeout(timeouts.first_byte, receive).await;
    head.unwrap_or(Err(Failure::Silent(timeouts.first_byte)))
}
