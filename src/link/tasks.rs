//! Tasks that establish connections and transfer frames.

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
use super::peer::Peer;
use super::queue::Queue;
use super::session::CloseReason;
use super::session::Session;

/// Largest frame accepted: the largest document, with room to spare.
const MAX_FRAME_BYTES: usize = 10 << 20;
/// Interval at which a dial in backoff checks whether the peer has connected meanwhile.
const DIAL_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Spawns the two tasks that send a peer's queued frames, one for each queue.
pub(super) fn spawn_senders(shared: &Arc<Shared>, peer: &Arc<Peer>) {
    for large in [false, true] {
        let (shared, peer) = (Arc::clone(shared), Arc::clone(peer));
        task::spawn(async move {
            let queue = if large { &peer.large } else { &peer.small };
            send_queued(&shared, &peer, queue).await;
        });
    }
}

/// Accepts connections until the endpoint closes.
pub(super) async fn accept(shared: Arc<Shared>) {
    while let Some(incoming) = shared.endpoint.accept().await {
        task::spawn(complete_handshake(Arc::clone(&shared), incoming));
    }
}

/// Returns the connection to a peer and dials if there is none. `None` if the dial failed.
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
        task::sleep(wait.min(DIAL_POLL_INTERVAL)).await;
    }
    match dial(shared, peer).await {
        Ok(session) => adopt(shared, peer, session),
        Err(error) => note_failure(shared, peer, &error),
    }
    peer.connection()
}

async fn send_queued(shared: &Arc<Shared>, peer: &Arc<Peer>, queue: &Queue) {
    while queue.wait().await.is_some() {
        if !queue.drop_expired(shared.settings.max_frame_age) {
            continue;
        }
        let Some(connection) = connect(shared, peer).await else { continue };
        let Some(frame) = queue.pop() else { continue };
        if send(&connection, &frame).await.is_err() {
            queue.count_lost();
        }
    }
}

/// Sends a frame on a stream of its own, so that a lost packet delays no other frame. QUIC
/// retransmits lost packets.
async fn send(connection: &Connection, frame: &[u8]) -> Result<(), WriteError> {
    let mut stream = connection.open_uni().await?;
    stream.write_all(frame).await?;
    stream.finish().unwrap_or_default();
    Ok(())
}

async fn dial(shared: &Shared, peer: &Peer) -> Result<Session, Error> {
    let (address, use_new_port) = {
        let state = peer.state();
        (state.address, state.use_new_port)
    };
    let address = address.ok_or_else(|| Error::UnknownAddress(peer.id.clone()))?;
    let handshake_error =
        |reason: String| Error::Handshake { address, reason, peer: peer.id.clone() };
    let own_endpoint = if use_new_port { Some(open_ephemeral_port(shared)?) } else { None };
    let client = shared.tls.load().client.clone();
    let endpoint = own_endpoint.as_ref().unwrap_or(&shared.endpoint);
    let connecting = endpoint.connect_with(client, address, &peer.id);
    let connecting = connecting.map_err(|error| handshake_error(error.to_string()))?;
    let handshake_timeout = shared.settings.handshake_timeout;
    let connection = timeout(handshake_timeout, connecting)
        .await
        .map_err(|_| handshake_error("no answer".into()))?;
    let connection = connection.map_err(|error| handshake_error(error.to_string()))?;
    let (_, session) = Session::new(connection, true, own_endpoint)
        .ok_or_else(|| handshake_error("no name in it".into()))?;
    Ok(session)
}

fn open_ephemeral_port(shared: &Shared) -> Result<quinn::Endpoint, Error> {
    open(SocketAddr::new(shared.settings.listen.ip(), 0), None)
}

fn note_failure(shared: &Shared, peer: &Peer, error: &Error) {
    peer.note_failure(
        error.to_string(),
        shared.settings.dial_backoff,
        shared.settings.dial_backoff_max,
    );
}

async fn complete_handshake(shared: Arc<Shared>, incoming: Incoming) {
    let address = incoming.remote_address();
    let refuse = |reason: String| shared.refusals().record(address, reason);
    let connecting = match incoming.accept() {
        Ok(connecting) => connecting,
        Err(error) => return refuse(error.to_string()),
    };
    match timeout(shared.settings.handshake_timeout, connecting).await {
        Ok(Ok(connection)) => match Session::new(connection, false, None) {
            Some((id, session)) if id == shared.settings.id => {
                session.close(CloseReason::Refused);
                refuse("certificate has the name of this process".into());
            }
            Some((id, session)) => adopt(&shared, &shared.peer(&id), session),
            None => refuse("certificate has no name".into()),
        },
        Ok(Err(error)) => refuse(error.to_string()),
        Err(_) => refuse("handshake did not end".into()),
    }
}

fn adopt(shared: &Arc<Shared>, peer: &Arc<Peer>, session: Session) {
    task::spawn(receive_frames(Arc::clone(shared), Arc::clone(peer), session.connection.clone()));
    peer.adopt(session, &shared.settings.id);
}

/// Receives frames until the connection ends.
async fn receive_frames(shared: Arc<Shared>, peer: Arc<Peer>, connection: Connection) {
    let since = Instant::now();
    let error = loop {
        match connection.accept_uni().await {
            Ok(stream) => task::spawn(receive_frame(Arc::clone(&shared), peer.id.clone(), stream)),
            Err(error) => break error,
        };
    };
    let settings = &shared.settings;
    peer.note_end(since, &error, settings.dial_backoff, settings.dial_backoff_max);
}

async fn receive_frame(shared: Arc<Shared>, from: NodeId, mut stream: RecvStream) {
    if let Ok(frame) = stream.read_to_end(MAX_FRAME_BYTES).await {
        shared.receiver.receive(&from, frame);
    }
}
