//! Frames over unencrypted TCP, for networks that the operator declares trusted.
//!
//! On such a network a process's id is the address of its VM, and all processes use the same port,
//! so that a process can be reached by its id. The sending thread writes frames itself; a task
//! writes only what the socket does not accept at once.

mod frame;
mod peer;

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use async_std::future::timeout;
use async_std::io::BufReader;
use async_std::io::WriteExt;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;

use self::peer::Peer;
use super::Error;
use super::Receiver;
use super::Status;
use super::Transport;
use crate::id::NodeId;
use crate::runtime;

/// Timeout of a connect or a handshake: a hundred times the latency between failure domains.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Backoff after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Transport over unencrypted TCP.
pub struct Tcp {
    shared: Arc<Shared>,
}

struct Shared {
    peers: Mutex<BTreeMap<NodeId, Arc<Peer>>>,
    me: NodeId,
    port: u16,
    receiver: Box<dyn Receiver>,
}

impl Tcp {
    /// Listens at `address` as process `me`.
    ///
    /// # Errors
    ///
    /// If the address can't be listened on.
    pub fn start(
        me: NodeId,
        address: SocketAddr,
        receiver: Box<dyn Receiver>,
    ) -> Result<Self, Error> {
        let socket_error = |source| Error::Socket { address, source };
        let listener = std::net::TcpListener::bind(address).map_err(socket_error)?;
        listener.set_nonblocking(true).map_err(socket_error)?;
        let shared = Shared { peers: Mutex::default(), me, port: address.port(), receiver };
        let shared = Arc::new(shared);
        runtime::spawn(accept(TcpListener::from(listener), Arc::clone(&shared)));
        Ok(Self { shared })
    }
}

impl Transport for Tcp {
    fn set_neighbours(&mut self, _: &[NodeId]) {}

    fn send(&mut self, to: &NodeId, _: Option<SocketAddr>, bytes: Vec<u8>) {
        let peer = self.shared.peer(to);
        peer.send(&self.shared, to, frame::encode(&bytes));
    }

    fn status(&self) -> Option<Status> {
        None
    }
}

impl Shared {
    fn peer(&self, id: &NodeId) -> Arc<Peer> {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(peers.entry(id.clone()).or_default())
    }
}

async fn dial(shared: Arc<Shared>, peer: Arc<Peer>, to: NodeId) {
    let Ok(ip) = to.parse::<IpAddr>() else {
        tracing::warn!(target: "hemlockfield::link", peer = %to, "peer id is not an IP address");
        return peer.handle_dial_failure();
    };
    let address = SocketAddr::new(ip, shared.port);
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => {
            tracing::debug!(target: "hemlockfield::link", peer = %to, "can't connect: {error}");
            return peer.handle_dial_failure();
        }
        Err(_) => {
            tracing::debug!(target: "hemlockfield::link", peer = %to, "can't connect: timeout");
            return peer.handle_dial_failure();
        }
    };
    set_no_delay(&stream);
    let mut writer = stream.clone();
    if writer.write_all(&frame::encode(shared.me.as_bytes())).await.is_err() {
        return peer.handle_dial_failure();
    }
    peer.set_stream(&stream);
    read(shared, peer, to, BufReader::new(stream)).await;
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => runtime::spawn(receive_connection(Arc::clone(&shared), stream)),
            Err(error) => {
                tracing::warn!(target: "hemlockfield::link", "can't accept: {error}");
                task::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn receive_connection(shared: Arc<Shared>, stream: TcpStream) {
    set_no_delay(&stream);
    let mut reader = BufReader::new(stream);
    let Ok(Some(name)) = timeout(CONNECT_TIMEOUT, frame::read(&mut reader)).await else { return };
    let Ok(name) = String::from_utf8(name) else { return };
    let id = NodeId::from(name);
    let peer = shared.peer(&id);
    peer.set_stream(reader.get_ref());
    read(shared, peer, id, reader).await;
}

async fn read(
    shared: Arc<Shared>,
    peer: Arc<Peer>,
    from: NodeId,
    mut reader: BufReader<TcpStream>,
) {
    while let Some(bytes) = frame::read(&mut reader).await {
        peer.record_received();
        shared.receiver.receive(&from, bytes);
    }
    peer::close(reader.get_ref());
    peer.handle_closed(reader.get_ref());
}

fn set_no_delay(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(target: "hemlockfield::link", "can't set no-delay: {error}");
    }
}
