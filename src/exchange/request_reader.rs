//! A caller's connection: its requests, one after the other.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::future::timeout;
use async_std::io;
use async_std::io::ReadExt;
use async_std::net::TcpStream;

use super::Body;
use super::Error;
use super::Exact;
use super::Outcome;
use super::Request;
use super::ResponseWriter;
use super::Tap;
use super::head;
use super::refuse;

/// Longest head unless told otherwise, in bytes: twice what common servers allow.
pub const HEAD_MAX: usize = 16 * 1024;
/// Time in which a caller reads an answer that ends the connection. Closed at once, its
/// unread bytes would reset the connection, and the answer would be lost on the way.
const LINGER: Duration = Duration::from_secs(2);
const LINGER_BYTES: u64 = 1024 * 1024;
/// Longest pause in a request's body until its rule sets another.
const IDLE: Duration = Duration::from_secs(60);

/// Reads requests off one connection.
pub struct RequestReader {
    head_max: usize,
    peer: SocketAddr,
    tap: Tap,
}

impl RequestReader {
    /// Serves an accepted connection.
    pub fn new(stream: TcpStream, peer: SocketAddr) -> Self {
        stream.set_nodelay(true).ok();
        Self { head_max: HEAD_MAX, peer, tap: Tap::new(stream) }
    }

    /// Sets the longest head, in bytes.
    pub fn set_head_max(&mut self, head_max: usize) {
        self.head_max = head_max;
    }

    /// The other end.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Ends when a request begins, or the caller has closed.
    pub async fn readable(&self) {
        self.tap.readable().await;
    }

    /// The next request, whose head comes within `limit`; `None` where the connection is
    /// over. A head that can't be served is answered here.
    pub async fn next(&mut self, limit: Duration) -> Option<(Request, ResponseWriter)> {
        let head = timeout(limit, self.tap.head(self.head_max)).await.ok()?;
        let request = match head {
            Ok(None) => return None,
            Ok(Some(bytes)) => Request::parse(&bytes),
            Err(error) => Err(error),
        };
        match request {
            Ok(request) => Some(self.start(request)),
            Err(error) => {
                self.reject(&error).await;
                None
            }
        }
    }

    /// Answers with an error and ends the connection.
    pub async fn reject(&mut self, error: &Error) {
        let mut writer = ResponseWriter::new(self.tap.clone(), http::Method::GET, true);
        let response = refuse(error.status(), Outcome::NotRun, &error.to_string(), None);
        writer.send(response).await.ok();
        self.linger().await;
    }

    /// Lets the caller read what was sent, and closes.
    pub async fn linger(&mut self) {
        self.tap.finish();
        let mut rest = self.tap.stream().take(LINGER_BYTES);
        timeout(LINGER, io::copy(&mut rest, &mut io::sink())).await.ok();
        self.tap.close();
    }

    fn start(&self, mut request: Request) -> (Request, ResponseWriter) {
        if let Some(framing) = head::request_framing(&request) {
            let mut exact = Exact::new(self.tap.clone(), framing, u64::MAX, IDLE);
            let expects = request.header("expect");
            if expects.is_some_and(|text| text.eq_ignore_ascii_case("100-continue")) {
                exact.greet();
            }
            request.body = Body::Stream(Box::new(exact));
        }
        let close = head::says_close(&request.headers);
        let writer = ResponseWriter::new(self.tap.clone(), request.method.clone(), close);
        (request, writer)
    }
}
