//! Reads requests from a caller's connection, one after the other.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::future::timeout;
use async_std::io;
use async_std::io::ReadExt;
use async_std::net::TcpStream;

use super::BodyReader;
use super::Error;
use super::Framing;
use super::Outcome;
use super::Payload;
use super::Progress;
use super::Request;
use super::ResponseWriter;
use super::Socket;
use super::head;
use super::refuse;

/// Default for the largest head of a request, in bytes: twice the limit of common servers.
pub const DEFAULT_MAX_HEAD_BYTES: usize = 16 * 1024;
/// Longest wait for the caller to read the last response before its connection is closed.
/// Closing with unread bytes from the caller resets the connection, which can destroy a response
/// that is still in transit.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// Most bytes from the caller that are discarded during that wait.
const MAX_LINGER_BYTES: u64 = 1024 * 1024;
/// Longest wait for the next byte of a request's body until the matching rule sets another limit.
const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(60);

/// A request, and the writer of its response.
pub struct Received {
    /// Its body.
    pub payload: Payload,
    /// Its head.
    pub request: Request,
    /// Writes its response.
    pub writer: ResponseWriter,
}

/// Reads the requests of one connection. A request is read only behind the end of the body before
/// it: no byte of a body is taken for a head.
pub struct RequestReader {
    /// How far the last request's body has been read.
    body: Progress,
    max_head_bytes: usize,
    peer: SocketAddr,
    socket: Socket,
}

impl RequestReader {
    /// Creates a reader for an accepted connection.
    pub fn new(stream: TcpStream, peer: SocketAddr) -> Self {
        stream.set_nodelay(true).ok();
        Self {
            body: Progress::completed(),
            max_head_bytes: DEFAULT_MAX_HEAD_BYTES,
            peer,
            socket: Socket::new(stream),
        }
    }

    /// Sets the largest head of a request, in bytes.
    pub fn set_max_head_bytes(&mut self, max_head_bytes: usize) {
        self.max_head_bytes = max_head_bytes;
    }

    /// Address of the caller.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Waits until bytes of a request arrive or the caller closes the connection.
    pub async fn readable(&self) {
        self.socket.readable().await;
    }

    /// Whether a part of the last request's body has not been read.
    pub fn has_unread_body(&self) -> bool {
        !self.body.is_complete()
    }

    /// Reads the next request, whose head must arrive within `limit`. `None` if the connection has
    /// ended, or can carry no more requests as a part of the last one's body was not read.
    ///
    /// # Errors
    ///
    /// If the head is invalid; the caller is answered with the error first.
    pub async fn next(&mut self, limit: Duration) -> Result<Option<Received>, Error> {
        if self.has_unread_body() {
            self.linger().await;
            return Ok(None);
        }
        let Ok(head) = timeout(limit, self.socket.read_head(self.max_head_bytes)).await else {
            return Ok(None);
        };
        let received = match head {
            Ok(None) => return Ok(None),
            Ok(Some(bytes)) => Request::parse(&bytes).and_then(|request| self.attach_body(request)),
            Err(error) => Err(error),
        };
        match received {
            Ok(received) => Ok(Some(received)),
            Err(error) => {
                tracing::info!(target: "hemlockfield::exchange", peer = %self.peer, "head refused: {error}");
                self.reject(&error).await;
                Err(error)
            }
        }
    }

    /// Answers with an error and closes the connection.
    pub async fn reject(&mut self, error: &Error) {
        let progress = Progress::completed();
        let mut writer =
            ResponseWriter::new(self.socket.clone(), http::Method::GET, progress, true);
        let response = refuse(error.status(), Outcome::NotRun, &error.to_string(), None);
        writer.send(response).await.ok();
        self.linger().await;
    }

    /// Waits for the caller to read the last response, then closes the connection.
    pub async fn linger(&mut self) {
        self.socket.finish();
        let mut remaining = self.socket.stream().take(MAX_LINGER_BYTES);
        timeout(LINGER_TIMEOUT, io::copy(&mut remaining, &mut io::sink())).await.ok();
        self.socket.close();
    }

    fn attach_body(&mut self, request: Request) -> Result<Received, Error> {
        let payload = match head::request_framing(&request)? {
            Some(framing) => self.stream(&request, framing),
            None => Payload::empty(),
        };
        self.body = payload.progress().clone();
        let close = head::says_close(&request.headers);
        let method = request.method.clone();
        let writer = ResponseWriter::new(self.socket.clone(), method, self.body.clone(), close);
        Ok(Received { payload, request, writer })
    }

    fn stream(&self, request: &Request, framing: Framing) -> Payload {
        let mut reader =
            BodyReader::new(self.socket.clone(), framing, u64::MAX, DEFAULT_BODY_TIMEOUT);
        let expect = request.header("expect");
        if expect.is_some_and(|text| text.eq_ignore_ascii_case("100-continue")) {
            reader.send_continue();
        }
        Payload::stream(reader)
    }
}
