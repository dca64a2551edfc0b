//! Tasks that make connections and carry frames.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_std::future::timeout;
use async_std::task;
use quinn::Connection;
use quinn::Incoming;
use quinn::RecvStream;
use quinn::WriteError;

use crate::id::NodeId;

use super::Error;
use super::endpoint::Shared;
use super::endpoint::open;
use super::live::Live;
use super::live::Reason;
use super::peer::Peer;
use super::queue::Queue;

/// Largest frame taken: the largest document, and then some.
const FRAME_LIMIT: usize = 10 << 20;
/// Pace at which a put-off dial looks for a connection that the peer made.
const LOOK: Duration = Duration::from_millis(50);

/// Starts the tasks that empty a peer's queues.
pub(super) fn start(shared: &Arc<Shared>, peer: &Arc<Peer>) {
    for large in [false, true] {
        let (shared, peer) = (Arc::clone(shared), Arc::clone(peer));
        task::spawn(async move {
            let queue = if large { &peer.large } else { &peer.small };
            drain(&shared, &peer, queue).await;
        });
    }
}

/// Takes connections until the endpoint closes.
pub(super) async fn accept(shared: Arc<Shared>) {
    while let Some(incoming) = shared.endpoint.accept().await {
        task::spawn(welcome(Arc::clone(&shared), incoming));
    }
}

/// The connection to a peer, dialled if there is none; `None` when it failed.
pub(super) async fn connect(shared: &Arc<Shared>, peer: &Arc<Peer>) -> Option<Connection> {
    if let Some(connection) = peer.connection() {
        return Some(connection);
    }
    let _guard = peer.dialling.lock().await;
    loop {
        if let Some(connection) = peer.connection() {
            return Some(connection);
        }
        let now = Instant::now();
        let Some(wait) = peer.state().retry_at.filter(|at| *at > now).map(|at| at - now) else {
            break;
        };
        task::sleep(wait.min(LOOK)).await;
    }
    match dial(shared, peer).await {
        Ok(live) => adopt(shared, peer, live),
        Err(error) => fail(shared, peer, &error),
    }
    peer.connection()
}

async fn drain(shared: &Arc<Shared>, peer: &Arc<Peer>, queue: &Queue) {
    while queue.wait().await.is_some() {
        if !queue.refresh(shared.settings.frame_age) {
            continue;
        }
        let Some(connection) = connect(shared, peer).await else { continue };
        let Some(frame) = queue.pop() else { continue };
        if send(&connection, &frame).await.is_err() {
            queue.note_lost();
        }
    }
}

/// Sends a frame as a stream of its own: none waits for a lost packet of another,
/// and what is lost is sent again.
async fn send(connection: &Connection, frame: &[u8]) -> Result<(), WriteError> {
    let mut stream = connection.open_uni().await?;
    stream.write_all(frame).await?;
    stream.finish().unwrap_or_default();
    Ok(())
}

async fn dial(shared: &Shared, peer: &Peer) -> Result<Live, Error> {
    let (address, fresh_port) = {
        let state = peer.state();
        (state.address, state.fresh_port)
    };
    let address = address.ok_or_else(|| Error::Address(peer.id.clone()))?;
    let refuse = |reason: String| Error::Handshake { address, reason, peer: peer.id.clone() };
    let own = if fresh_port { Some(open_any(shared)?) } else { None };
    let client = shared.tls.load().client.clone();
    let endpoint = own.as_ref().unwrap_or(&shared.endpoint);
    let connecting = endpoint.connect_with(client, address, &peer.id);
    let connecting = connecting.map_err(|error| refuse(error.to_string()))?;
    let limit = shared.settings.dial_limit;
    let connection = timeout(limit, connecting).await.map_err(|_| refuse("no answer".into()))?;
    let connection = connection.map_err(|error| refuse(error.to_string()))?;
    let (_, live) =
        Live::new(connection, true, own).ok_or_else(|| refuse("no name in it".into()))?;
    Ok(live)
}

fn open_any(shared: &Shared) -> Result<quinn::Endpoint, Error> {
    open(SocketAddr::new(shared.settings.listen.ip(), 0), None)
}

fn fail(shared: &Shared, peer: &Peer, error: &Error) {
    peer.note_failure(error.to_string(), shared.settings.dial_gap, shared.settings.dial_gap_max);
}

async fn welcome(shared: Arc<Shared>, incoming: Incoming) {
    let address = incoming.remote_address();
    let refuse = |reason: String| shared.refusals().note(address, reason);
    let connecting = match incoming.accept() {
        Ok(connecting) => connecting,
        Err(error) => return refuse(error.to_string()),
    };
    match timeout(shared.settings.dial_limit, connecting).await {
        Ok(Ok(connection)) => match Live::new(connection, false, None) {
            Some((id, live)) if id == shared.settings.me => {
                live.close(Reason::Refused);
                refuse("certificate has the name of this process".into());
            }
            Some((id, live)) => adopt(&shared, &shared.peer(&id), live),
            None => refuse("certificate has no name".into()),
        },
        Ok(Err(error)) => refuse(error.to_string()),
        Err(_) => refuse("handshake did not end".into()),
    }
}

fn adopt(shared: &Arc<Shared>, peer: &Arc<Peer>, live: Live) {
    task::spawn(read(Arc::clone(shared), Arc::clone(peer), live.connection.clone()));
    peer.adopt(live, &shared.settings.me);
}

/// Takes frames until the connection ends.
async fn read(shared: Arc<Shared>, peer: Arc<Peer>, connection: Connection) {
    let since = Instant::now();
    let error = loop {
        match connection.accept_uni().await {
            Ok(stream) => task::spawn(take(Arc::clone(&shared), peer.id.clone(), stream)),
            Err(error) => break error,
        };
    };
    let settings = &shared.settings;
    peer.note_end(since, &error, settings.dial_gap, settings.dial_gap_max);
}

async fn take(shared: Arc<Shared>, from: NodeId, mut stream: RecvStream) {
    if let Ok(frame) = stream.read_to_end(FRAME_LIMIT).await {
        shared.receiver.receive(&from, frame);
    }
}
