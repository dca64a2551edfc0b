//! UDP relay that can lose track of the flows that it carries.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

/// Flows by the port that they come from.
type Flows = Arc<Mutex<BTreeMap<SocketAddr, Arc<UdpSocket>>>>;

/// Relay in front of one address, with a socket for each flow.
pub(super) struct Relay {
    pub(super) address: SocketAddr,
    flows: Flows,
    swallowed: Arc<Mutex<BTreeSet<SocketAddr>>>,
}

impl Relay {
    pub(super) fn start(target: SocketAddr) -> Self {
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").unwrap());
        let address = socket.local_addr().unwrap();
        let relay = Self { address, flows: Arc::default(), swallowed: Arc::default() };
        let (flows, swallowed) = (Arc::clone(&relay.flows), Arc::clone(&relay.swallowed));
        thread::spawn(move || {
            let mut buffer = [0; 2048];
            while let Ok((size, from)) = socket.recv_from(&mut buffer) {
                if swallowed.lock().unwrap().contains(&from) {
                    continue;
                }
                let mut flows = flows.lock().unwrap();
                let out =
                    flows.entry(from).or_insert_with(|| back(&socket, from, target, &swallowed));
                let _ = out.send(&buffer[..size]);
            }
        });
        relay
    }

    /// Swallows, from now on and both ways, the flows that exist.
    pub(super) fn swallow(&self) {
        self.swallowed.lock().unwrap().extend(self.flows.lock().unwrap().keys());
    }

    pub(super) fn flows(&self) -> usize {
        self.flows.lock().unwrap().len()
    }
}

/// Socket of one flow towards the target, and its way back.
fn back(
    socket: &Arc<UdpSocket>,
    from: SocketAddr,
    target: SocketAddr,
    swallowed: &Arc<Mutex<BTreeSet<SocketAddr>>>,
) -> Arc<UdpSocket> {
    let out = Arc::new(UdpSocket::bind("127.0.0.1:0").unwrap());
    out.connect(target).unwrap();
    let (socket, answers, swallowed) =
        (Arc::clone(socket), Arc::clone(&out), Arc::clone(swallowed));
    thread::spawn(move || {
        let mut buffer = [0; 2048];
        while let Ok(size) = answers.recv(&mut buffer) {
            if !swallowed.lock().unwrap().contains(&from) {
                let _ = socket.send_to(&buffer[..size], from);
            }
        }
    });
    out
}
