//! Which other entry serves a request that this one can't.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

use crate::clock::Moment;
use crate::id::NodeId;
use crate::id::ServiceId;

/// How long a peer that does not reach a service either, or that can't be reached, gets no request
/// for it.
const AVOIDANCE: Duration = Duration::from_secs(1);

/// Another entry that takes requests from this one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Address at which it takes requests from other entries.
    pub address: SocketAddr,
    /// Its id.
    pub id: NodeId,
}

/// Chooses other entries for requests that this one can't serve.
#[derive(Debug)]
pub struct Peers {
    avoided_until: BTreeMap<(NodeId, ServiceId), Moment>,
    random: ChaCha8Rng,
}

impl Peers {
    /// Creates a choice without experience.
    pub fn new(random: ChaCha8Rng) -> Self {
        Self { avoided_until: BTreeMap::new(), random }
    }

    /// Chooses one of `peers` for a request to a service. They are drawn evenly, so that the load
    /// of an entry spreads over all others; `None` if each has failed just now.
    pub fn choose(
        &mut self,
        now: Moment,
        service: &ServiceId,
        peers: impl Iterator<Item = Peer>,
    ) -> Option<Peer> {
        self.avoided_until.retain(|_, until| now < *until);
        let is_avoided =
            |peer: &Peer| self.avoided_until.contains_key(&(peer.id.clone(), service.clone()));
        peers.filter(|peer| !is_avoided(peer)).choose(&mut self.random)
    }

    /// Avoids a peer that did not reach the service, or was not reached.
    pub fn avoid(&mut self, now: Moment, peer: &Peer, service: &ServiceId) {
        self.avoided_until.insert((peer.id.clone(), service.clone()), now + AVOIDANCE);
    }
}
