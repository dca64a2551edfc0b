//! Test fixture: endpoints with certificates of one authority.

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::channel;
use std::thread::sleep;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use hemlockfield::clock::Epoch;
use hemlockfield::id::NodeId;
use hemlockfield::keys::Authority;
use hemlockfield::keys::Paths;
use hemlockfield::link::Endpoint;
use hemlockfield::link::PeerStatus;
use hemlockfield::link::Settings;
use stop_token::StopSource;
use tempfile::TempDir;
use tempfile::tempdir;

pub(super) const DAY: Duration = Duration::from_secs(24 * 3600);
/// Timeout of an event that has to happen.
const EVENT_TIMEOUT: Duration = Duration::from_secs(60);

pub(super) fn now() -> Epoch {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap()
}

/// Polls until `happened` returns true; panics after [`EVENT_TIMEOUT`].
pub(super) fn wait_for(what: &str, mut happened: impl FnMut() -> bool) {
    let interval = Duration::from_millis(20);
    let tries = EVENT_TIMEOUT.as_millis() / interval.as_millis();
    assert!(
        (0..tries).any(|_| happened() || {
            sleep(interval);
            false
        }),
        "{what} did not happen"
    );
}

/// Certificate authority and its folder, in which nodes have their certificates.
pub(super) struct Fixture {
    pub(super) authority: Authority,
    pub(super) folder: TempDir,
}

impl Fixture {
    pub(super) fn new() -> Self {
        let folder = tempdir().unwrap();
        Self { authority: Authority::create(folder.path(), now()).unwrap(), folder }
    }

    pub(super) fn folder_of(&self, id: &str) -> PathBuf {
        self.folder.path().join(id)
    }

    pub(super) fn issue(&self, id: &str) -> Paths {
        self.authority.issue(&self.folder_of(id), id, now(), DAY).unwrap()
    }

    pub(super) fn settings(&self, id: &str) -> Settings {
        Settings::new(id.into(), "127.0.0.1:0".parse().unwrap(), self.issue(id))
    }

    pub(super) fn start(&self, id: &str) -> Node {
        Node::start(self.settings(id))
    }
}

/// Endpoint with the frames that it received.
pub(super) struct Node {
    pub(super) endpoint: Endpoint,
    pub(super) frames: Receiver<(NodeId, Vec<u8>)>,
    _stop: StopSource,
}

impl Node {
    pub(super) fn start(settings: Settings) -> Self {
        let (sender, frames) = channel();
        let stop = StopSource::new();
        let receiver =
            move |from: &NodeId, frame: Vec<u8>| drop(sender.send((from.clone(), frame)));
        let endpoint = Endpoint::start(settings, Box::new(receiver), stop.token()).unwrap();
        Self { endpoint, frames, _stop: stop }
    }

    pub(super) fn set_address(&self, id: &str, peer: &Node) {
        self.endpoint.set_addresses([(id.into(), peer.endpoint.address().unwrap())]);
    }

    pub(super) fn set_wanted(&self, ids: &[&str]) {
        self.endpoint.set_wanted(&ids.iter().map(|id| NodeId::from(*id)).collect::<BTreeSet<_>>());
    }

    pub(super) fn send(&self, to: &str, frame: &[u8]) {
        self.endpoint.send(&to.into(), frame.to_vec());
    }

    pub(super) fn receive(&self) -> (NodeId, Vec<u8>) {
        self.frames.recv_timeout(EVENT_TIMEOUT).unwrap()
    }

    pub(super) fn peer(&self, id: &str) -> PeerStatus {
        self.endpoint.status().peers.into_iter().find(|peer| peer.id == id).unwrap()
    }

    pub(super) fn is_linked(&self, id: &str) -> bool {
        self.endpoint.status().peers.iter().any(|peer| peer.id == id && peer.address.is_some())
    }
}
