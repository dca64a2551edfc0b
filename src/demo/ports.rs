//! Free ports on loopback for the demo's processes.

use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::ops::Range;

use rand::Rng;

use super::Error;

/// Below the ports that the system gives to outgoing connections, which could take one before a process of the
/// demo listens.
const RANGE: Range<u16> = 10_000..30_000;
const TRIES: usize = 100;

/// Draws ports, each one once.
#[derive(Debug)]
pub struct Ports<R> {
    drawn: BTreeSet<u16>,
    rng: R,
}

impl<R: Rng> Ports<R> {
    /// Creates a source that draws with `rng`.
    pub fn new(rng: R) -> Self {
        Self { drawn: BTreeSet::new(), rng }
    }

    /// Draws a loopback address on which nobody listens, for TCP and UDP alike.
    ///
    /// # Errors
    /// Fails if none was found in a hundred tries.
    pub fn draw(&mut self) -> Result<SocketAddr, Error> {
        let mut last = ErrorKind::AddrInUse.into();
        for _ in 0..TRIES {
            let port = self.rng.random_range(RANGE);
            if !self.drawn.insert(port) {
                continue;
            }
            let address = SocketAddr::from(([127, 0, 0, 1], port));
            match TcpListener::bind(address).and_then(|_| UdpSocket::bind(address)) {
                Ok(_) => return Ok(address),
                Err(error) => last = error,
            }
        }
        Err(Error::Io { what: "find a free port", source: last })
    }
}
