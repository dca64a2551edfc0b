//! Frames over unencrypted TCP, for networks that the operator declares trusted.
//!
//! On such a network a process's id is the address of its VM, and all processes use the same port,
//! so that a process can be reached by its id. The sending thread writes frames itself; a task
//! writes only what the socket does not accept at once.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use async_std::future::timeout;
use async_std::io::BufReader;
use async_std::io::ReadExt;
use async_std::io::Write;
use async_std::io::WriteExt;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;

use crate::id::NodeId;
use crate::link;
use crate::node::Error;
use crate::node::Input;
use crate::node::InputSender;
use crate::node::Transport;
use crate::runtime;
use crate::settings::Settings;

/// Longest frame, in bytes: the largest configuration, in an envelope.
const FRAME_BYTES_MAX: usize = 10 << 20;
/// Most bytes queued for a peer that does not read: a large configuration.
const QUEUE_BYTES_MAX: usize = 8 << 20;
/// Timeout of a connect or a handshake: a hundred times the latency between failure domains.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Backoff before an unreachable peer is dialled again. Frames are dropped meanwhile; slices resend
/// what matters.
const REDIAL_BACKOFF: Duration = Duration::from_millis(150);
/// A connection on which frames were sent is closed after this long without a frame received. The
/// network may report no error: a middlebox that lost its state drops packets silently.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1200);
/// Backoff after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Transport over unencrypted TCP.
struct Tcp {
    shared: Arc<Shared>,
}

struct Shared {
    control: InputSender,
    peers: Mutex<BTreeMap<NodeId, Arc<Peer>>>,
    me: NodeId,
    port: u16,
}

/// Connection and send queue of one peer.
struct Peer {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    is_dialling: bool,
    /// Whether a task writes the queue.
    is_flushing: bool,
    redial_at: Option<Instant>,
    stream: Option<TcpStream>,
    queue: VecDeque<Vec<u8>>,
    queue_bytes: usize,
    /// When the first frame was sent since the last one received.
    unanswered_since: Option<Instant>,
}

pub(super) fn start(
    settings: &Settings,
    control: InputSender,
) -> Result<Box<dyn Transport>, Error> {
    let address = settings.listen.links;
    let listen = |source| Error::Listen { address, source };
    let listener = std::net::TcpListener::bind(address).map_err(listen)?;
    listener.set_nonblocking(true).map_err(listen)?;
    let me = settings.node.id.clone();
    let shared = Shared { control, peers: Mutex::default(), me, port: address.port() };
    let shared = Arc::new(shared);
    runtime::spawn(accept(TcpListener::from(listener), Arc::clone(&shared)));
    Ok(Box::new(Tcp { shared }))
}

impl Transport for Tcp {
    fn set_neighbours(&mut self, _: &[NodeId]) {}

    fn send(&mut self, to: &NodeId, _: Option<SocketAddr>, bytes: Vec<u8>) {
        let peer = self.shared.peer(to);
        peer.send(&self.shared, to, encode_frame(&bytes));
    }

    fn status(&self) -> Option<link::Status> {
        None
    }
}

impl Shared {
    fn peer(&self, id: &NodeId) -> Arc<Peer> {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        let create = || Arc::new(Peer { state: Mutex::default() });
        Arc::clone(peers.entry(id.clone()).or_insert_with(create))
    }
}

impl Peer {
    fn send(self: &Arc<Self>, shared: &Arc<Shared>, to: &NodeId, frame: Vec<u8>) {
        let now = Instant::now();
        let mut state = self.state();
        if state.unanswered_since.is_some_and(|at| now.duration_since(at) > SILENCE_TIMEOUT) {
            tracing::info!(target: "hemlockfield::link", peer = %to, "link is silent, dialled anew");
            state.drop_stream();
        }
        state.unanswered_since.get_or_insert(now);
        let Some(stream) = state.stream.clone() else {
            if state.redial_at.is_some_and(|at| now < at) {
                return;
            }
            state.enqueue(frame);
            if !state.is_dialling {
                state.is_dialling = true;
                runtime::spawn(dial(Arc::clone(shared), Arc::clone(self), to.clone()));
            }
            return;
        };
        // A task may have written a part of a frame; no other bytes may follow before its rest.
        if state.queue.is_empty() && !state.is_flushing {
            match try_write(&stream, &frame) {
                Ok(count) if count == frame.len() => return,
                Ok(count) => state.enqueue(frame[count..].to_vec()),
                Err(_) => return state.drop_stream(),
            }
        } else {
            state.enqueue(frame);
        }
        if !state.is_flushing {
            state.is_flushing = true;
            runtime::spawn(flush(Arc::clone(self), stream));
        }
    }

    /// Uses a connection for all frames sent from now on.
    fn set_stream(self: &Arc<Self>, stream: &TcpStream) {
        let mut state = self.state();
        state.stream = Some(stream.clone());
        state.is_dialling = false;
        state.redial_at = None;
        state.unanswered_since = None;
        if !state.queue.is_empty() && !state.is_flushing {
            state.is_flushing = true;
            runtime::spawn(flush(Arc::clone(self), stream.clone()));
        }
    }

    fn record_received(&self) {
        self.state().unanswered_since = None;
    }

    fn handle_closed(&self, stream: &TcpStream) {
        let mut state = self.state();
        if state.stream.as_ref().is_some_and(|current| is_same_connection(current, stream)) {
            state.drop_stream();
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn enqueue(&mut self, frame: Vec<u8>) {
        self.queue_bytes += frame.len();
        self.queue.push_back(frame);
        if self.queue_bytes > QUEUE_BYTES_MAX {
            // A part of the first frame may be sent already, so the queue can only be dropped with
            // its connection.
            self.drop_stream();
        }
    }

    fn drop_stream(&mut self) {
        if let Some(stream) = self.stream.take() {
            close(&stream);
        }
        self.queue.clear();
        self.queue_bytes = 0;
        self.unanswered_since = None;
    }
}

fn close(stream: &TcpStream) {
    if let Err(error) = stream.shutdown(std::net::Shutdown::Both) {
        tracing::debug!(target: "hemlockfield::link", "connection is already closed: {error}");
    }
}

fn is_same_connection(one: &TcpStream, other: &TcpStream) -> bool {
    let ends = |stream: &TcpStream| Some((stream.local_addr().ok()?, stream.peer_addr().ok()?));
    ends(one).is_some_and(|ends_of_one| ends(other) == Some(ends_of_one))
}

/// Writes as many bytes as the socket accepts without blocking; returns their number.
fn try_write(stream: &TcpStream, bytes: &[u8]) -> std::io::Result<usize> {
    let mut stream = stream;
    let mut context = Context::from_waker(futures::task::noop_waker_ref());
    match Pin::new(&mut stream).poll_write(&mut context, bytes) {
        Poll::Ready(written) => written,
        Poll::Pending => Ok(0),
    }
}

async fn flush(peer: Arc<Peer>, mut stream: TcpStream) {
    loop {
        let Some(next) = next_to_flush(&peer, &stream) else { return };
        if stream.write_all(&next).await.is_err() {
            peer.state().is_flushing = false;
            peer.handle_closed(&stream);
            return;
        }
    }
}

fn next_to_flush(peer: &Peer, stream: &TcpStream) -> Option<Vec<u8>> {
    let mut state = peer.state();
    let is_current =
        state.stream.as_ref().is_some_and(|current| is_same_connection(current, stream));
    let next = if is_current { state.queue.front().cloned() } else { None };
    let Some(next) = next else {
        state.is_flushing = false;
        return None;
    };
    state.queue_bytes -= next.len();
    state.queue.pop_front();
    Some(next)
}

async fn dial(shared: Arc<Shared>, peer: Arc<Peer>, to: NodeId) {
    let Ok(ip) = to.parse::<IpAddr>() else {
        tracing::warn!(target: "hemlockfield::link", peer = %to, "peer id is not an IP address");
        return handle_dial_failure(&peer);
    };
    let address = SocketAddr::new(ip, shared.port);
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => {
            tracing::debug!(target: "hemlockfield::link", peer = %to, "can't connect: {error}");
            return handle_dial_failure(&peer);
        }
        Err(_) => {
            tracing::debug!(target: "hemlockfield::link", peer = %to, "can't connect: timeout");
            return handle_dial_failure(&peer);
        }
    };
    set_no_delay(&stream);
    let mut writer = stream.clone();
    if writer.write_all(&encode_frame(shared.me.as_bytes())).await.is_err() {
        return handle_dial_failure(&peer);
    }
    peer.set_stream(&stream);
    read(shared, peer, to, BufReader::new(stream)).await;
}

fn handle_dial_failure(peer: &Peer) {
    let mut state = peer.state();
    state.is_dialling = false;
    state.redial_at = Some(Instant::now() + REDIAL_BACKOFF);
    if state.stream.is_none() {
        state.drop_stream();
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => runtime::spawn(receive_connection(Arc::clone(&shared), stream)),
            Err(error) => {
                tracing::warn!(target: "hemlockfield::link", "can't accept: {error}");
                task::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn receive_connection(shared: Arc<Shared>, stream: TcpStream) {
    set_no_delay(&stream);
    let mut reader = BufReader::new(stream);
    let Ok(Some(name)) = timeout(CONNECT_TIMEOUT, read_frame(&mut reader)).await else { return };
    let Ok(name) = String::from_utf8(name) else { return };
    let id = NodeId::from(name);
    let peer = shared.peer(&id);
    peer.set_stream(reader.get_ref());
    read(shared, peer, id, reader).await;
}

async fn read(
    shared: Arc<Shared>,
    peer: Arc<Peer>,
    from: NodeId,
    mut reader: BufReader<TcpStream>,
) {
    while let Some(bytes) = read_frame(&mut reader).await {
        peer.record_received();
        // A frame that the control thread can't take now is dropped; slices resend what matters.
        if shared.control.try_send(Input::Frame(from.clone(), bytes)).is_err() {
            tracing::warn!(target: "hemlockfield::link", peer = %from, "control thread does not take the frame, dropped");
        }
    }
    close(reader.get_ref());
    peer.handle_closed(reader.get_ref());
}

async fn read_frame(reader: &mut BufReader<TcpStream>) -> Option<Vec<u8>> {
    let mut length = [0; 4];
    reader.read_exact(&mut length).await.ok()?;
    let length = u32::from_le_bytes(length) as usize;
    if length > FRAME_BYTES_MAX {
        tracing::warn!(target: "hemlockfield::link", length, "frame is too long, connection closed");
        return None;
    }
    let mut bytes = vec![0; length];
    reader.read_exact(&mut bytes).await.ok()?;
    Some(bytes)
}

fn encode_frame(bytes: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(4 + bytes.len());
    frame.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
    frame.extend_from_slice(bytes);
    frame
}

fn set_no_delay(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(target: "hemlockfield::link", "can't set no-delay: {error}");
    }
}
