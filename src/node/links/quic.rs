use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use stop_token::StopSource;

use crate::id::NodeId;
use crate::keys::Paths;
use crate::link;
use crate::link::Endpoint;
use crate::node::Error;
use crate::node::Input;
use crate::node::InputSender;
use crate::node::Transport;
use crate::settings::Keys;
use crate::settings::Settings;

/// Links by QUIC, authenticated by keys.
struct Quic {
    addresses: BTreeMap<NodeId, SocketAddr>,
    endpoint: Endpoint,
    _stop: StopSource,
    wanted: BTreeSet<NodeId>,
}

pub(super) fn start(
    settings: &Settings,
    keys: &Keys,
    control: InputSender,
) -> Result<Box<dyn Transport>, Error> {
    let paths = Paths { authority: keys.authority.clone(), identity: keys.identity.clone() };
    let links = link::Settings::new(settings.node.id.clone(), settings.listen.links, paths);
    let stop = StopSource::new();
    // A frame that the control thread can't take now is dropped; slices resend what matters.
    let receive = move |from: &NodeId, bytes: Vec<u8>| {
        if control.try_send(Input::Frame(from.clone(), bytes)).is_err() {
            tracing::warn!(target: "hemlockfield::link", peer = %from, "control thread does not take the frame, dropped");
        }
    };
    let endpoint = Endpoint::start(links, Box::new(receive), stop.token())?;
    let addresses: BTreeMap<NodeId, SocketAddr> =
        settings.peers.iter().map(|peer| (peer.id.clone(), peer.links)).collect();
    endpoint.set_addresses(addresses.clone());
    Ok(Box::new(Quic { addresses, endpoint, _stop: stop, wanted: BTreeSet::new() }))
}

impl Transport for Quic {
    fn set_neighbours(&mut self, neighbours: &[NodeId]) {
        let wanted: BTreeSet<NodeId> = neighbours.iter().cloned().collect();
        if wanted != self.wanted {
            self.endpoint.set_wanted(&wanted);
            self.wanted = wanted;
        }
    }

    fn send(&mut self, to: &NodeId, address: Option<SocketAddr>, bytes: Vec<u8>) {
        if let Some(address) = address
            && self.addresses.get(to) != Some(&address)
        {
            self.addresses.insert(to.clone(), address);
            self.endpoint.set_addresses([(to.clone(), address)]);
        }
        self.endpoint.send(to, bytes);
    }

    fn status(&self) -> Option<link::Status> {
        Some(self.endpoint.status())
    }
}
