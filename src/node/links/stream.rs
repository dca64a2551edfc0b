//! Frames over plain TCP, for networks that the operator says are trusted.
//!
//! A process's id is its VM's address there and the port is the same on all of them, so that
//! whoever is known can be reached. Frames are written by the thread that sends them; only
//! what the socket does not take at once waits for a task.

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
const FRAME_MAX: usize = 10 << 20;
/// Bytes that may wait for a peer that does not read: a large configuration.
const WAITING_MAX: usize = 8 << 20;
/// Longest until a connection is open: a hundred times the way between failure domains.
const DIAL: Duration = Duration::from_millis(400);
/// Pause before a peer that could not be reached is dialled again; frames are dropped
/// meanwhile, and sent again by those to whom they matter.
const REDIAL: Duration = Duration::from_millis(150);
/// A connection on which frames went out and nothing has come for so long is given up, also
/// where the network says nothing: a path that has lost track of it swallows all.
const SILENT: Duration = Duration::from_millis(1200);
/// Pause after a failed accept.
const PAUSE: Duration = Duration::from_millis(50);

struct Trusted {
    shared: Arc<Shared>,
}

struct Shared {
    control: InputSender,
    lines: Mutex<BTreeMap<NodeId, Arc<Line>>>,
    me: NodeId,
    port: u16,
}

/// All that goes to one peer.
struct Line {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    dialling: bool,
    flushing: bool,
    redial_at: Option<Instant>,
    stream: Option<TcpStream>,
    waiting: VecDeque<Vec<u8>>,
    waiting_bytes: usize,
    unanswered: Option<Instant>,
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
    let shared = Shared { control, lines: Mutex::default(), me, port: address.port() };
    let shared = Arc::new(shared);
    runtime::spawn(accept(TcpListener::from(listener), Arc::clone(&shared)));
    Ok(Box::new(Trusted { shared }))
}

impl Transport for Trusted {
    fn set_neighbours(&mut self, _: &[NodeId]) {}

    fn send(&mut self, to: &NodeId, _: Option<SocketAddr>, bytes: Vec<u8>) {
        let line = self.shared.line(to);
        line.send(&self.shared, to, frame(&bytes));
    }

    fn status(&self) -> Option<link::Status> {
        None
    }
}

impl Shared {
    fn line(&self, id: &NodeId) -> Arc<Line> {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let fresh = || Arc::new(Line { state: Mutex::default() });
        Arc::clone(lines.entry(id.clone()).or_insert_with(fresh))
    }
}

impl Line {
    fn send(self: &Arc<Self>, shared: &Arc<Shared>, to: &NodeId, frame: Vec<u8>) {
        let now = Instant::now();
        let mut state = self.state();
        if state.unanswered.is_some_and(|at| now.duration_since(at) > SILENT) {
            tracing::info!(target: "hemlockfield::link", peer = %to, "link is silent, dialled anew");
            state.drop_stream();
        }
        state.unanswered.get_or_insert(now);
        let Some(stream) = state.stream.clone() else {
            if state.redial_at.is_some_and(|at| now < at) {
                return;
            }
            state.queue(frame);
            if !state.dialling {
                state.dialling = true;
                runtime::spawn(dial(Arc::clone(shared), Arc::clone(self), to.clone()));
            }
            return;
        };
        // A frame that a task is half through with must not be followed by another's bytes.
        if state.waiting.is_empty() && !state.flushing {
            match write_now(&stream, &frame) {
                Ok(count) if count == frame.len() => return,
                Ok(count) => state.queue(frame[count..].to_vec()),
                Err(_) => return state.drop_stream(),
            }
        } else {
            state.queue(frame);
        }
        if !state.flushing {
            state.flushing = true;
            runtime::spawn(flush(Arc::clone(self), stream));
        }
    }

    /// Uses a connection for all that goes out from now on.
    fn adopt(self: &Arc<Self>, stream: &TcpStream) {
        let mut state = self.state();
        state.stream = Some(stream.clone());
        state.dialling = false;
        state.redial_at = None;
        state.unanswered = None;
        if !state.waiting.is_empty() && !state.flushing {
            state.flushing = true;
            runtime::spawn(flush(Arc::clone(self), stream.clone()));
        }
    }

    fn heard(&self) {
        self.state().unanswered = None;
    }

    fn ended(&self, stream: &TcpStream) {
        let mut state = self.state();
        if state.stream.as_ref().is_some_and(|current| same(current, stream)) {
            state.drop_stream();
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn queue(&mut self, frame: Vec<u8>) {
        self.waiting_bytes += frame.len();
        self.waiting.push_back(frame);
        if self.waiting_bytes > WAITING_MAX {
            // What is half sent must not be followed by another frame's middle.
            self.drop_stream();
        }
    }

    fn drop_stream(&mut self) {
        if let Some(stream) = self.stream.take() {
            close(&stream);
        }
        self.waiting.clear();
        self.waiting_bytes = 0;
        self.unanswered = None;
    }
}

fn close(stream: &TcpStream) {
    if let Err(error) = stream.shutdown(std::net::Shutdown::Both) {
        tracing::debug!(target: "hemlockfield::link", "connection was closed before: {error}");
    }
}

fn same(one: &TcpStream, other: &TcpStream) -> bool {
    let ends = |stream: &TcpStream| Some((stream.local_addr().ok()?, stream.peer_addr().ok()?));
    ends(one).is_some_and(|ends_of_one| ends(other) == Some(ends_of_one))
}

/// Writes what the socket takes without waiting.
fn write_now(stream: &TcpStream, bytes: &[u8]) -> std::io::Result<usize> {
    let mut stream = stream;
    let mut context = Context::from_waker(futures::task::noop_waker_ref());
    match Pin::new(&mut stream).poll_write(&mut context, bytes) {
        Poll::Ready(written) => written,
        Poll::Pending => Ok(0),
    }
}

async fn flush(line: Arc<Line>, mut stream: TcpStream) {
    loop {
        let Some(next) = next_to_flush(&line, &stream) else { return };
        if stream.write_all(&next).await.is_err() {
            line.state().flushing = false;
            line.ended(&stream);
            return;
        }
    }
}

fn next_to_flush(line: &Line, stream: &TcpStream) -> Option<Vec<u8>> {
    let mut state = line.state();
    let current = state.stream.as_ref().is_some_and(|current| same(current, stream));
    let next = if current { state.waiting.front().cloned() } else { None };
    let Some(next) = next else {
        state.flushing = false;
        return None;
    };
    state.waiting_bytes -= next.len();
    state.waiting.pop_front();
    Some(next)
}

async fn dial(shared: Arc<Shared>, line: Arc<Line>, to: NodeId) {
    let Ok(ip) = to.parse::<IpAddr>() else {
        tracing::warn!(target: "hemlockfield::link", peer = %to, "id is no address");
        return failed(&line);
    };
    let address = SocketAddr::new(ip, shared.port);
    let stream = match timeout(DIAL, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => {
            tracing::debug!(target: "hemlockfield::link", peer = %to, "no link: {error}");
            return failed(&line);
        }
        Err(_) => {
            tracing::debug!(target: "hemlockfield::link", peer = %to, "no link: no answer");
            return failed(&line);
        }
    };
    prepare(&stream);
    let mut writer = stream.clone();
    if writer.write_all(&frame(shared.me.as_bytes())).await.is_err() {
        return failed(&line);
    }
    line.adopt(&stream);
    read(shared, line, to, BufReader::new(stream)).await;
}

fn failed(line: &Line) {
    let mut state = line.state();
    state.dialling = false;
    state.redial_at = Some(Instant::now() + REDIAL);
    if state.stream.is_none() {
        state.drop_stream();
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => runtime::spawn(welcome(Arc::clone(&shared), stream)),
            Err(error) => {
                tracing::warn!(target: "hemlockfield::link", "can't accept: {error}");
                task::sleep(PAUSE).await;
            }
        }
    }
}

async fn welcome(shared: Arc<Shared>, stream: TcpStream) {
    prepare(&stream);
    let mut reader = BufReader::new(stream);
    let Ok(Some(name)) = timeout(DIAL, next(&mut reader)).await else { return };
    let Ok(name) = String::from_utf8(name) else { return };
    let id = NodeId::from(name);
    let line = shared.line(&id);
    line.adopt(reader.get_ref());
    read(shared, line, id, reader).await;
}

async fn read(
    shared: Arc<Shared>,
    line: Arc<Line>,
    from: NodeId,
    mut reader: BufReader<TcpStream>,
) {
    while let Some(bytes) = next(&mut reader).await {
        line.heard();
        // What control can't take now is dropped, as by a network: the slices send again.
        if shared.control.try_send(Input::Frame(from.clone(), bytes)).is_err() {
            tracing::warn!(target: "hemlockfield::link", peer = %from, "frame is dropped");
        }
    }
    close(reader.get_ref());
    line.ended(reader.get_ref());
}

async fn next(reader: &mut BufReader<TcpStream>) -> Option<Vec<u8>> {
    let mut length = [0; 4];
    reader.read_exact(&mut length).await.ok()?;
    let length = u32::from_le_bytes(length) as usize;
    if length > FRAME_MAX {
        tracing::warn!(target: "hemlockfield::link", length, "frame is too long");
        return None;
    }
    let mut bytes = vec![0; length];
    reader.read_exact(&mut bytes).await.ok()?;
    Some(bytes)
}

fn frame(bytes: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(4 + bytes.len());
    frame.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
    frame.extend_from_slice(bytes);
    frame
}

fn prepare(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(target: "hemlockfield::link", "can't set no-delay: {error}");
    }
}
