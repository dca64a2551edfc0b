//! Selects the transport that connects the control threads of processes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::id::NodeId;
use crate::keys::Paths;
use crate::link;
use crate::link::Datagram;
use crate::link::Quic;
use crate::link::Tcp;
use crate::link::Transport;
use crate::settings::Settings;

use super::Error;
use super::Input;
use super::InputSender;

/// Starts the transport that the settings select; frames that arrive go to `control`.
///
/// # Errors
/// When the address or the keys can't be used.
pub(super) fn start(
    settings: &Settings,
    control: InputSender,
) -> Result<Box<dyn Transport>, Error> {
    let (me, address) = (settings.node.id.clone(), settings.listen.links);
    let peers: BTreeMap<NodeId, SocketAddr> =
        settings.peers.iter().map(|peer| (peer.id.clone(), peer.links)).collect();
    // A frame that the control thread can't take now is dropped; slices resend what matters.
    let receiver = Box::new(move |from: &NodeId, bytes: Vec<u8>| {
        if control.try_send(Input::Frame(from.clone(), bytes)).is_err() {
            tracing::warn!(target: "hemlockfield::link", peer = %from, "control thread does not take the frame, dropped");
        }
    });
    Ok(match &settings.keys {
        Some(keys) => {
            let paths =
                Paths { authority: keys.authority.clone(), identity: keys.identity.clone() };
            Box::new(Quic::start(link::Settings::new(me, address, paths), peers, receiver)?)
        }
        None if settings.trusted_network => Box::new(Tcp::start(me, address, receiver)?),
        None => Box::new(Datagram::start(me, address, peers, receiver)?),
    })
}
