//! Connection and send queue of one peer.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use async_std::io::Write;
use async_std::io::WriteExt;
use async_std::net::TcpStream;

use super::Shared;
use super::dial;
use crate::id::NodeId;
use crate::runtime;

/// Most bytes queued for a peer that does not read: a large configuration.
const QUEUE_BYTES_MAX: usize = 8 << 20;
/// Backoff before an unreachable peer is dialled again. Frames are dropped meanwhile; slices resend
/// what matters.
const REDIAL_BACKOFF: Duration = Duration::from_millis(150);
/// A connection on which frames were sent is closed after this long without a frame received. The
/// network may report no error: a middlebox that lost its state drops packets silently.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Connection and send queue of one peer.
#[derive(Default)]
pub(super) struct Peer {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    connection: Option<Connection>,
    is_dialling: bool,
    /// Whole frames that are not begun on any connection.
    queue: VecDeque<Vec<u8>>,
    queue_bytes: usize,
    redial_at: Option<Instant>,
    /// When the first frame was sent since the last one received.
    unanswered_since: Option<Instant>,
}

/// The connection on which frames are sent. What is being written belongs to it: nothing of that goes
/// on, or holds others up, once another connection takes its place.
struct Connection {
    /// Whether a task writes to it.
    is_flushing: bool,
    /// Rest of the frame that was begun.
    rest: Option<Vec<u8>>,
    stream: TcpStream,
}

impl Peer {
    pub(super) fn send(self: &Arc<Self>, shared: &Arc<Shared>, to: &NodeId, frame: Vec<u8>) {
        let now = Instant::now();
        let mut state = self.state();
        if state.unanswered_since.is_some_and(|at| now.duration_since(at) > SILENCE_TIMEOUT) {
            tracing::info!(target: "hemlockfield::link", peer = %to, "link is silent, dialled anew");
            state.drop_connection();
        }
        state.unanswered_since.get_or_insert(now);
        if state.connection.is_none() {
            if state.redial_at.is_some_and(|at| now < at) {
                return;
            }
            state.enqueue(frame);
            if !state.is_dialling {
                state.is_dialling = true;
                runtime::spawn(dial(Arc::clone(shared), Arc::clone(self), to.clone()));
            }
            return;
        }
        state.enqueue(frame);
        if state.write_queue().is_err() {
            return state.drop_connection();
        }
        self.flush(&mut state);
    }

    /// Uses a connection for all frames sent from now on.
    pub(super) fn set_stream(self: &Arc<Self>, stream: &TcpStream) {
        let mut state = self.state();
        let stream = stream.clone();
        state.connection = Some(Connection { is_flushing: false, rest: None, stream });
        state.is_dialling = false;
        state.redial_at = None;
        state.unanswered_since = None;
        self.flush(&mut state);
    }

    /// Has a task write what waits, unless one does.
    fn flush(self: &Arc<Self>, state: &mut State) {
        let Some(connection) = &mut state.connection else { return };
        let is_idle = connection.rest.is_none() && state.queue.is_empty();
        if !is_idle && !connection.is_flushing {
            connection.is_flushing = true;
            runtime::spawn(flush(Arc::clone(self), connection.stream.clone()));
        }
    }

    pub(super) fn record_received(&self) {
        self.state().unanswered_since = None;
    }

    pub(super) fn handle_closed(&self, stream: &TcpStream) {
        let mut state = self.state();
        if state.connection_over(stream).is_some() {
            state.drop_connection();
        }
    }

    /// Records that the peer could not be dialled.
    pub(super) fn handle_dial_failure(&self) {
        let mut state = self.state();
        state.is_dialling = false;
        state.redial_at = Some(Instant::now() + REDIAL_BACKOFF);
        if state.connection.is_none() {
            state.drop_connection();
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
            self.drop_connection();
        }
    }

    /// The current connection, if it is the one over this stream.
    fn connection_over(&mut self, stream: &TcpStream) -> Option<&mut Connection> {
        self.connection.as_mut().filter(|it| is_same_connection(&it.stream, stream))
    }

    /// Writes what the connection accepts at once, unless a task writes to it.
    fn write_queue(&mut self) -> io::Result<()> {
        let Some(connection) = &mut self.connection else { return Ok(()) };
        if connection.is_flushing {
            return Ok(());
        }
        while connection.rest.is_none() {
            let Some(mut frame) = self.queue.pop_front() else { return Ok(()) };
            self.queue_bytes -= frame.len();
            let count = try_write(&connection.stream, &frame)?;
            if count < frame.len() {
                frame.drain(..count);
                connection.rest = Some(frame);
            }
        }
        Ok(())
    }

    fn drop_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            close(&connection.stream);
        }
        self.queue.clear();
        self.queue_bytes = 0;
        self.unanswered_since = None;
    }
}

/// Closes a connection.
pub(super) fn close(stream: &TcpStream) {
    if let Err(error) = stream.shutdown(std::net::Shutdown::Both) {
        tracing::debug!(target: "hemlockfield::link", "connection is already closed: {error}");
    }
}

fn is_same_connection(one: &TcpStream, other: &TcpStream) -> bool {
    let ends = |stream: &TcpStream| Some((stream.local_addr().ok()?, stream.peer_addr().ok()?));
    ends(one).is_some_and(|ends_of_one| ends(other) == Some(ends_of_one))
}

/// Writes as many bytes as the socket accepts without blocking; returns their number.
fn try_write(stream: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
    let mut stream = stream;
    let mut context = Context::from_waker(futures::task::noop_waker_ref());
    match Pin::new(&mut stream).poll_write(&mut context, bytes) {
        Poll::Ready(written) => written,
        Poll::Pending => Ok(0),
    }
}

/// Writes what waits, as long as the stream's connection is the current one.
async fn flush(peer: Arc<Peer>, mut stream: TcpStream) {
    while let Some(next) = next_to_flush(&peer, &stream) {
        if stream.write_all(&next).await.is_err() {
            return peer.handle_closed(&stream);
        }
    }
}

fn next_to_flush(peer: &Peer, stream: &TcpStream) -> Option<Vec<u8>> {
    let mut state = peer.state();
    if let Some(rest) = state.connection_over(stream)?.rest.take() {
        return Some(rest);
    }
    let next = state.queue.pop_front();
    state.queue_bytes -= next.as_ref().map_or(0, Vec::len);
    if next.is_none() {
        state.connection_over(stream)?.is_flushing = false;
    }
    next
}
