use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::UdpSocket;

use crate::id::NodeId;
use crate::link;
use crate::node::Error;
use crate::node::Input;
use crate::node::InputSender;
use crate::node::Transport;
use crate::node::input_channel::SendError;
use crate::settings::Settings;

/// Largest datagram, in bytes.
const DATAGRAM_BYTES_MAX: usize = 65_000;

/// Unauthenticated datagrams, for trials on one VM. The settings allow them on loopback only,
/// since whoever reaches the port could join the fleet.
struct Datagram {
    me: NodeId,
    peers: BTreeMap<NodeId, SocketAddr>,
    socket: UdpSocket,
}

pub(super) fn start(
    settings: &Settings,
    control: InputSender,
) -> Result<Box<dyn Transport>, Error> {
    tracing::warn!(target: "hemlockfield::link", "no keys: links are unauthenticated, for trials on loopback only");
    let address = settings.listen.links;
    let listen = |source| Error::Listen { address, source };
    let socket = UdpSocket::bind(address).map_err(listen)?;
    let reader = socket.try_clone().map_err(listen)?;
    std::thread::Builder::new()
        .name("links".into())
        .spawn(move || read(&reader, &control))
        .map_err(Error::Thread)?;
    let peers = settings.peers.iter().map(|peer| (peer.id.clone(), peer.links)).collect();
    Ok(Box::new(Datagram { me: settings.node.id.clone(), peers, socket }))
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

    fn status(&self) -> Option<link::Status> {
        None
    }
}

fn read(socket: &UdpSocket, control: &InputSender) {
    let mut buffer = vec![0; DATAGRAM_BYTES_MAX + 1];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer) else { continue };
        let Ok((from, bytes)) = postcard::from_bytes(&buffer[..length]) else { continue };
        if let Err(SendError::Closed) = control.try_send(Input::Frame(from, bytes)) {
            return;
        }
    }
}
