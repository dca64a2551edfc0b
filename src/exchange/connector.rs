//! Opens TCP connections to upstreams.

use std::fmt::Debug;
use std::io;
use std::net::SocketAddr;

use async_std::net::TcpStream;
use futures::FutureExt;
use futures::future::BoxFuture;

/// Opens TCP connections to upstreams.
pub trait Connector: Debug + Send + Sync {
    /// Opens a connection. The caller bounds the time that this takes.
    ///
    /// # Errors
    ///
    /// If the connection is refused or the network reports that it can't be opened.
    fn connect(&self, address: SocketAddr) -> BoxFuture<'static, io::Result<TcpStream>>;
}

/// Opens connections over the network of this VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct Network;

impl Connector for Network {
    fn connect(&self, address: SocketAddr) -> BoxFuture<'static, io::Result<TcpStream>> {
        TcpStream::connect(address).boxed()
    }
}
