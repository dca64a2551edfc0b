//! The process's end of all links.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use async_std::task;
use quinn::AsyncStdRuntime;
use quinn::EndpointConfig;
use quinn::VarInt;
use stop_token::StopToken;

use crate::clock::Epoch;
use crate::id::NodeId;
use crate::keys::Identity;

use super::Error;
use super::Receiver;
use super::Settings;
use super::Status;
use super::courier;
use super::peer::Peer;
use super::refusals::Refusals;
use super::supervisor;
use super::tls::Tls;

/// The process's end of all links. Clones share it.
#[derive(Clone)]
pub struct Endpoint {
    pub(super) shared: Arc<Shared>,
}

/// What the tasks of an endpoint share.
pub(super) struct Shared {
    /// Whether all ended; a frame sent later must not start tasks again.
    pub(super) closed: AtomicBool,
    /// The socket that peers dial.
    pub(super) endpoint: quinn::Endpoint,
    /// Certificate and key in use.
    pub(super) identity: ArcSwap<Identity>,
    /// Why renewed files could not be taken up.
    pub(super) keys_error: ArcSwapOption<String>,
    /// Peers by name.
    pub(super) peers: Mutex<BTreeMap<NodeId, Arc<Peer>>>,
    /// Where received frames go.
    pub(super) receiver: Box<dyn Receiver>,
    /// Connections that were refused.
    pub(super) refusals: Mutex<Refusals>,
    /// Settings.
    pub(super) settings: Settings,
    /// Ends all tasks.
    pub(super) stop: StopToken,
    /// TLS configuration of new connections.
    pub(super) tls: ArcSwap<Tls>,
}

impl Endpoint {
    /// Opens the socket and starts to take links; all ends with `stop`.
    ///
    /// # Errors
    ///
    /// [`Error::Keys`] for a certificate that peers would refuse, [`Error::Name`]
    /// for that of another process, [`Error::Socket`] when the address can't be
    /// had, [`Error::Tls`] when the library refuses.
    pub fn start(
        settings: Settings,
        receiver: Box<dyn Receiver>,
        stop: StopToken,
    ) -> Result<Self, Error> {
        let identity = load(&settings)?;
        let tls = Tls::new(&identity, &settings)?;
        let endpoint = open(settings.listen, Some(tls.server.clone()))?;
        let shared = Arc::new(Shared {
            closed: AtomicBool::new(false),
            endpoint,
            identity: ArcSwap::from_pointee(identity),
            keys_error: ArcSwapOption::empty(),
            peers: Mutex::default(),
            receiver,
            refusals: Mutex::default(),
            settings,
            stop,
            tls: ArcSwap::from_pointee(tls),
        });
        task::spawn(courier::accept(Arc::clone(&shared)));
        task::spawn(supervisor::run(Arc::clone(&shared)));
        Ok(Self { shared })
    }

    /// Address that it listens at.
    ///
    /// # Errors
    ///
    /// [`Error::Socket`] when the system does not tell.
    pub fn address(&self) -> Result<SocketAddr, Error> {
        let address = self.shared.settings.listen;
        self.shared.endpoint.local_addr().map_err(|source| Error::Socket { address, source })
    }

    /// Queues a frame; never waits. A link is made if there is none.
    pub fn send(&self, to: &NodeId, frame: Vec<u8>) {
        if self.is_other(to) {
            self.shared.peer(to).push(frame);
        }
    }

    /// Tells where peers are; those not named keep what was known.
    pub fn set_addresses(&self, addresses: impl IntoIterator<Item = (NodeId, SocketAddr)>) {
        for (id, address) in addresses {
            if self.is_other(&id) {
                self.shared.peer(&id).state().address = Some(address);
            }
        }
    }

    /// Tells which links to keep up while idle. Others are made on demand, and
    /// closed when nobody uses them.
    pub fn set_wanted(&self, wanted: &BTreeSet<NodeId>) {
        for id in wanted.iter().filter(|id| self.is_other(id)) {
            self.shared.peer(id);
        }
        for (id, peer) in self.shared.peers().iter() {
            peer.state().wanted = wanted.contains(id);
        }
    }

    /// Forgets a peer that has left the fleet.
    pub fn forget(&self, id: &NodeId) {
        if let Some(peer) = self.shared.peers().remove(id) {
            peer.stop();
        }
    }

    /// Takes up renewed certificate files. Done by itself within seconds of a
    /// change; connections that stand go on until their certificates expire.
    ///
    /// # Errors
    ///
    /// As for [`Endpoint::start`]; the old certificate stays in use.
    pub fn reload(&self) -> Result<(), Error> {
        self.shared.reload()
    }

    /// State for operators.
    pub fn status(&self) -> Status {
        let refusals = self.shared.refusals();
        Status {
            certificate_until: self.shared.identity.load().expires_at(),
            keys_error: self.shared.keys_error.load().as_deref().cloned(),
            peers: self.shared.peers().values().map(|peer| peer.status()).collect(),
            refused: refusals.count(),
            refusals: refusals.last(),
        }
    }

    /// Closes all links and waits until the peers have been told, for a moment.
    pub async fn close(&self) {
        self.shared.close();
        self.shared.endpoint.wait_idle().await;
    }

    fn is_other(&self, id: &NodeId) -> bool {
        *id != self.shared.settings.me && !self.shared.closed.load(Ordering::Acquire)
    }
}

impl Shared {
    /// The peer of a name, made if there is none.
    pub(super) fn peer(self: &Arc<Self>, id: &NodeId) -> Arc<Peer> {
        let mut peers = self.peers();
        if let Some(peer) = peers.get(id) {
            return Arc::clone(peer);
        }
        let peer = Arc::new(Peer::new(id.clone()));
        peers.insert(id.clone(), Arc::clone(&peer));
        courier::start(self, &peer);
        peer
    }

    /// All peers.
    pub(super) fn peers(&self) -> MutexGuard<'_, BTreeMap<NodeId, Arc<Peer>>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Refused connections.
    pub(super) fn refusals(&self) -> MutexGuard<'_, Refusals> {
        self.refusals.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes up the certificate files.
    pub(super) fn reload(&self) -> Result<(), Error> {
        let identity = load(&self.settings)?;
        let tls = Tls::new(&identity, &self.settings)?;
        self.endpoint.set_server_config(Some(tls.server.clone()));
        self.tls.store(Arc::new(tls));
        self.identity.store(Arc::new(identity));
        self.keys_error.store(None);
        Ok(())
    }

    /// Closes all links.
    pub(super) fn close(&self) {
        self.closed.store(true, Ordering::Release);
        let peers = std::mem::take(&mut *self.peers());
        peers.values().for_each(|peer| peer.stop());
        self.endpoint.close(VarInt::from_u32(0), b"stopped");
    }
}

/// The system's wall clock.
pub(super) fn wall_clock() -> Epoch {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Opens a socket.
pub(super) fn open(
    address: SocketAddr,
    server: Option<quinn::ServerConfig>,
) -> Result<quinn::Endpoint, Error> {
    let error = |source| Error::Socket { address, source };
    let socket = UdpSocket::bind(address).map_err(error)?;
    quinn::Endpoint::new(EndpointConfig::default(), server, socket, Arc::new(AsyncStdRuntime))
        .map_err(error)
}

fn load(settings: &Settings) -> Result<Identity, Error> {
    let identity = Identity::load(&settings.keys, wall_clock())?;
    if *identity.id() == settings.me {
        return Ok(identity);
    }
    Err(Error::Name { found: identity.id().clone(), wanted: settings.me.clone() })
}
