//! UDP relay that can drop all packets of its flows.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

/// Sockets towards the target, by the source address of the flow.
type Flows = Arc<Mutex<BTreeMap<SocketAddr, Arc<UdpSocket>>>>;

/// UDP relay in front of one address, with a socket for each flow.
pub(super) struct Relay {
    pub(super) address: SocketAddr,
    flows: Flows,
    dropped_flows: Arc<Mutex<BTreeSet<SocketAddr>>>,
}

impl Relay {
    pub(super) fn start(target: SocketAddr) -> Self {
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").unwrap());
        let address = socket.local_addr().unwrap();
        let relay = Self { address, flows: Arc::default(), dropped_flows: Arc::default() };
        let (flows, dropped_flows) = (Arc::clone(&relay.flows), Arc::clone(&relay.dropped_flows));
        thread::spawn(move || {
            let mut buffer = [0; 2048];
            while let Ok((size, from)) = socket.recv_from(&mut buffer) {
                if dropped_flows.lock().unwrap().contains(&from) {
                    continue;
                }
                let mut flows = flows.lock().unwrap();
                let flow = flows
                    .entry(from)
                    .or_insert_with(|| open_flow(&socket, from, target, &dropped_flows));
                let _ = flow.send(&buffer[..size]);
            }
        });
        relay
    }

    /// Drops all further packets of the present flows, in both directions.
    pub(super) fn drop_flows(&self) {
        self.dropped_flows.lock().unwrap().extend(self.flows.lock().unwrap().keys());
    }

    pub(super) fn flows(&self) -> usize {
        self.flows.lock().unwrap().len()
    }
}

/// Opens the socket of a flow towards the target and relays the answers.
fn open_flow(
    socket: &Arc<UdpSocket>,
    from: SocketAddr,
    target: SocketAddr,
    dropped_flows: &Arc<Mutex<BTreeSet<SocketAddr>>>,
) -> Arc<UdpSocket> {
    let flow = Arc::new(UdpSocket::bind("127.0.0.1:0").unwrap());
    flow.connect(target).unwrap();
    let (socket, answers, dropped_flows) =
        (Arc::clone(socket), Arc::clone(&flow), Arc::clone(dropped_flows));
    thread::spawn(move || {
        let mut buffer = [0; 2048];
        while let Ok(size) = answers.recv(&mut buffer) {
            if !dropped_flows.lock().unwrap().contains(&from) {
                let _ = socket.send_to(&buffer[..size], from);
            }
        }
    });
    flow
}
