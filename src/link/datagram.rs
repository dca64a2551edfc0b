//! Unauthenticated datagrams, for trials on one VM.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Weak;

use super::Error;
use super::Receiver;
use super::Status;
use super::Transport;
use crate::id::NodeId;

/// Largest datagram, in bytes.
const DATAGRAM_BYTES_MAX: usize = 65_000;

/// Unauthenticated datagrams, for trials on one VM. The settings allow them on loopback only,
/// since whoever reaches the port could join the fleet.
pub struct Datagram {
    me: NodeId,
    peers: BTreeMap<NodeId, SocketAddr>,
    socket: UdpSocket,
    /// Ends the reading thread when it is dropped.
    _open: Arc<()>,
}

impl Datagram {
    /// Listens at `address` as process `me`; `peers` are the addresses of the others.
    ///
    /// # Errors
    ///
    /// If the address can't be listened on.
    pub fn start(
        me: NodeId,
        address: SocketAddr,
        peers: BTreeMap<NodeId, SocketAddr>,
        receiver: Box<dyn Receiver>,
    ) -> Result<Self, Error> {
        tracing::warn!(target: "hemlockfield::link", "no keys: links are unauthenticated, for trials on loopback only");
        let socket_error = |source| Error::Socket { address, source };
        let socket = UdpSocket::bind(address).map_err(socket_error)?;
        let open = Arc::new(());
        let is_open = Arc::downgrade(&open);
        let reader = socket.try_clone().map_err(socket_error)?;
        std::thread::Builder::new()
            .name("links".into())
            .spawn(move || read(&reader, &is_open, receiver.as_ref()))
            .map_err(socket_error)?;
        Ok(Self { me, peers, socket, _open: open })
    }
}

impl Transport for Datagram {
    fn set_neighbours(&mut self, _: &[NodeId]) {}

    fn send(&mut self, to: &NodeId, address: Option<SocketAddr>, bytes: Vec<u8>) {
        let Some(address) = address.or_else(|| self.peers.get(to).copied()) else { return };
        let Ok(packet) = postcard::to_stdvec(&(&self.me, bytes)) else { return };
        if packet.len() > DATAGRAM_BYTES_MAX {
            tracing::warn!(target: "hemlockfield::link", peer = %to, "frame is too large for a datagram, dropped");
            return;
        }
        self.socket.send_to(&packet, address).ok();
    }

    fn status(&self) -> Option<Status> {
        None
    }
}

fn read(socket: &UdpSocket, is_open: &Weak<()>, receiver: &dyn Receiver) {
    let mut buffer = vec![0; DATAGRAM_BYTES_MAX + 1];
    loop {
        let received = socket.recv_from(&mut buffer);
        if is_open.strong_count() == 0 {
            return;
        }
        let Ok((length, _)) = received else { continue };
        let Ok((from, bytes)) = postcard::from_bytes::<(NodeId, _)>(&buffer[..length]) else {
            continue;
        };
        receiver.receive(&from, bytes);
    }
}
