use std::net::SocketAddr;
use std::time::Duration;

use async_std::future::timeout;
use async_std::io;
use async_std::io::ReadExt;
use async_std::net::TcpStream;
use http_types::Method;
use http_types::Request;

use super::Error;
use super::Outcome;
use super::Outlet;
use super::Tap;
use super::check_request;
use super::refuse;

/// Longest that what a caller still sends is read after its answer, and most bytes of it:
/// closing on unread bytes resets the connection and can destroy the answer on its way.
const LINGER: Duration = Duration::from_secs(2);
const LINGER_BYTES: u64 = 1024 * 1024;

/// A caller's connection.
pub struct Inlet {
    peer: SocketAddr,
    tap: Tap,
}

impl Inlet {
    /// Takes an accepted connection.
    pub fn new(stream: TcpStream, peer: SocketAddr) -> Self {
        stream.set_nodelay(true).ok();
        Self { peer, tap: Tap::new(stream) }
    }

    /// Address of the caller's end.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Ends when the caller closes or sends the first byte of a request.
    pub async fn readable(&self) {
        if self.tap.has_early() {
            return;
        }
        let mut byte = [0];
        self.tap.stream().peek(&mut byte).await.ok();
    }

    /// Reads the next request's head within `limit`; `None` when the caller has closed.
    /// A head that can't be taken is answered here and ends the connection.
    pub async fn next(&mut self, limit: Duration) -> Option<(Request, Outlet)> {
        self.tap.next_message();
        let decoded = timeout(limit, async_h1::server::decode(self.tap.clone())).await;
        let error = match decoded {
            Err(_) => return None,
            Ok(Ok(None)) => return None,
            Ok(Ok(Some((request, _)))) => match check_request(&request) {
                Ok(()) => return Some(self.start(request)),
                Err(error) => error,
            },
            Ok(Err(error)) if self.tap.head_len() == 0 => {
                tracing::debug!(target: "exchange", "connection ended: {error}");
                return None;
            }
            Ok(Err(error)) => {
                self.tap.fault().unwrap_or_else(|| Error::Malformed(error.to_string()))
            }
        };
        self.reject(&error).await;
        None
    }

    /// Answers a request that can't be taken and closes.
    pub async fn reject(&mut self, error: &Error) {
        let mut outlet = Outlet::new(self.tap.clone(), Method::Get, true);
        let response = refuse(error.status(), Outcome::NotRun, &error.to_string(), None);
        outlet.send(response).await.ok();
        self.linger().await;
    }

    /// Ends the connection so that the last answer still arrives.
    pub async fn linger(&mut self) {
        self.tap.finish();
        let mut rest = self.tap.stream().take(LINGER_BYTES);
        timeout(LINGER, io::copy(&mut rest, &mut io::sink())).await.ok();
        self.tap.close();
    }

    fn start(&self, request: Request) -> (Request, Outlet) {
        match request.len() {
            Some(length) if request.header("transfer-encoding").is_none() => {
                self.tap.expect_body(length as u64);
            }
            _ if request.header("transfer-encoding").is_some() => self.tap.expect_chunks(),
            _ => self.tap.expect_body(0),
        }
        let close = request
            .header("connection")
            .is_some_and(|values| values.last().as_str().eq_ignore_ascii_case("close"));
        let outlet = Outlet::new(self.tap.clone(), request.method(), close);
        (request, outlet)
    }
}
