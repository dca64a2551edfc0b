//! Local endpoint of all links of a process.

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
use super::peer::Peer;
use super::refusals::Refusals;
use super::supervisor;
use super::tasks;
use super::tls::Tls;

/// Local endpoint of all links of a process. Clones share one socket and its links.
#[derive(Clone)]
pub struct Endpoint {
    pub(super) shared: Arc<Shared>,
}

/// State shared by the tasks of an endpoint.
pub(super) struct Shared {
    /// Whether the endpoint is closed. A frame sent afterwards must not spawn new tasks.
    pub(super) closed: AtomicBool,
    /// The socket that peers dial.
    pub(super) endpoint: quinn::Endpoint,
    /// Certificate and key in use.
    pub(super) identity: ArcSwap<Identity>,
    /// Why the last reload of the certificate files failed.
    pub(super) keys_error: ArcSwapOption<String>,
    /// Peers by name.
    pub(super) peers: Mutex<BTreeMap<NodeId, Arc<Peer>>>,
    /// Handles received frames.
    pub(super) receiver: Box<dyn Receiver>,
    /// Refused connections.
    pub(super) refusals: Mutex<Refusals>,
    /// Settings that the endpoint was started with.
    pub(super) settings: Settings,
    /// Token that stops the supervisor, which then closes the endpoint.
    pub(super) stop: StopToken,
    /// TLS configuration of new connections.
    pub(super) tls: ArcSwap<Tls>,
}

impl Endpoint {
    /// Opens the socket and starts to accept links. `stop` closes the endpoint.
    ///
    /// # Errors
    ///
    /// [`Error::Keys`] for a certificate that peers would refuse, [`Error::NameMismatch`] for a
    /// certificate of another process, [`Error::Socket`] if the address can't be bound,
    /// [`Error::Tls`] if the TLS library rejects the configuration.
    pub fn start(
        settings: Settings,
        receiver: Box<dyn Receiver>,
        stop: StopToken,
    ) -> Result<Self, Error> {
        let identity = load_identity(&settings)?;
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
        task::spawn(tasks::accept(Arc::clone(&shared)));
        task::spawn(supervisor::run(Arc::clone(&shared)));
        Ok(Self { shared })
    }

    /// Returns the address that the endpoint listens on.
    ///
    /// # Errors
    ///
    /// [`Error::Socket`] if the system does not report it.
    pub fn address(&self) -> Result<SocketAddr, Error> {
        let address = self.shared.settings.listen;
        self.shared.endpoint.local_addr().map_err(|source| Error::Socket { address, source })
    }

    /// Queues a frame without waiting. A link is established if there is none.
    pub fn send(&self, to: &NodeId, frame: Vec<u8>) {
        if self.can_link(to) {
            self.shared.peer(to).push(frame);
        }
    }

    /// Sets the addresses of peers. Peers that are not listed keep theirs.
    pub fn set_addresses(&self, addresses: impl IntoIterator<Item = (NodeId, SocketAddr)>) {
        for (id, address) in addresses {
            if self.can_link(&id) {
                self.shared.peer(&id).state().address = Some(address);
            }
        }
    }

    /// Sets the peers whose links are kept up while idle. Other links are established on demand
    /// and closed when unused.
    pub fn set_wanted(&self, wanted: &BTreeSet<NodeId>) {
        for id in wanted.iter().filter(|id| self.can_link(id)) {
            self.shared.peer(id);
        }
        for (id, peer) in self.shared.peers().iter() {
            peer.state().wanted = wanted.contains(id);
        }
    }

    /// Removes a peer that has left the fleet and closes its link.
    pub fn forget(&self, id: &NodeId) {
        if let Some(peer) = self.shared.peers().remove(id) {
            peer.stop();
        }
    }

    /// Loads renewed certificate files. The endpoint also does so by itself within seconds of a
    /// change. Established connections continue until their certificates expire.
    ///
    /// # Errors
    ///
    /// The same as [`Endpoint::start`]; the old certificate stays in use.
    pub fn reload(&self) -> Result<(), Error> {
        self.shared.reload()
    }

    /// Returns the state that operators see.
    pub fn status(&self) -> Status {
        let refusals = self.shared.refusals();
        Status {
            certificate_until: self.shared.identity.load().expires_at(),
            keys_error: self.shared.keys_error.load().as_deref().cloned(),
            peers: self.shared.peers().values().map(|peer| peer.status()).collect(),
            refused: refusals.count(),
            refusals: refusals.recent(),
        }
    }

    /// Closes all links and waits until the connections have drained, so that peers are notified.
    pub async fn close(&self) {
        self.shared.close();
        self.shared.endpoint.wait_idle().await;
    }

    fn can_link(&self, id: &NodeId) -> bool {
        *id != self.shared.settings.id && !self.shared.closed.load(Ordering::Acquire)
    }
}

impl Shared {
    /// Returns the peer of a name, which is added if it is unknown.
    pub(super) fn peer(self: &Arc<Self>, id: &NodeId) -> Arc<Peer> {
        let mut peers = self.peers();
        if let Some(peer) = peers.get(id) {
            return Arc::clone(peer);
        }
        let peer = Arc::new(Peer::new(id.clone()));
        peers.insert(id.clone(), Arc::clone(&peer));
        tasks::spawn_senders(self, &peer);
        peer
    }

    /// Locks the peers.
    pub(super) fn peers(&self) -> MutexGuard<'_, BTreeMap<NodeId, Arc<Peer>>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the refused connections.
    pub(super) fn refusals(&self) -> MutexGuard<'_, Refusals> {
        self.refusals.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Loads the certificate files and uses them for new connections.
    pub(super) fn reload(&self) -> Result<(), Error> {
        let identity = load_identity(&self.settings)?;
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

/// Reads the system's wall clock.
pub(super) fn wall_clock() -> Epoch {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Binds a UDP socket; with `server`, it accepts connections too.
pub(super) fn open(
    address: SocketAddr,
    server: Option<quinn::ServerConfig>,
) -> Result<quinn::Endpoint, Error> {
    let error = |source| Error::Socket { address, source };
    let socket = UdpSocket::bind(address).map_err(error)?;
    quinn::Endpoint::new(EndpointConfig::default(), server, socket, Arc::new(AsyncStdRuntime))
        .map_err(error)
}

fn load_identity(settings: &Settings) -> Result<Identity, Error> {
    let identity = Identity::load(&settings.keys, wall_clock())?;
    if *identity.id() == settings.id {
        return Ok(identity);
    }
    Err(Error::NameMismatch { found: identity.id().clone(), wanted: settings.id.clone() })
}
