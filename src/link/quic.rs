//! Links by QUIC as a transport.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use stop_token::StopSource;

use super::Endpoint;
use super::Error;
use super::Receiver;
use super::Settings;
use super::Status;
use super::Transport;
use crate::id::NodeId;

/// Links by QUIC, authenticated by keys.
pub struct Quic {
    addresses: BTreeMap<NodeId, SocketAddr>,
    endpoint: Endpoint,
    _stop: StopSource,
    wanted: BTreeSet<NodeId>,
}

impl Quic {
    /// Starts an endpoint; `addresses` are those of the other processes.
    ///
    /// # Errors
    ///
    /// If the address or the keys can't be used.
    pub fn start(
        settings: Settings,
        addresses: BTreeMap<NodeId, SocketAddr>,
        receiver: Box<dyn Receiver>,
    ) -> Result<Self, Error> {
        let stop = StopSource::new();
        let endpoint = Endpoint::start(settings, receiver, stop.token())?;
        endpoint.set_addresses(addresses.clone());
        Ok(Self { addresses, endpoint, _stop: stop, wanted: BTreeSet::new() })
    }
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

    fn status(&self) -> Option<Status> {
        Some(self.endpoint.status())
    }
}
