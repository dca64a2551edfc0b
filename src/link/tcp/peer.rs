//! Connection and send queue of one peer.

use std::collections::VecDeque;
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

impl Peer {
    pub(super) fn send(self: &Arc<Self>, shared: &Arc<Shared>, to: &NodeId, frame: Vec<u8>) {
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
    pub(super) fn set_stream(self: &Arc<Self>, stream: &TcpStream) {
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

    pub(super) fn record_received(&self) {
        self.state().unanswered_since = None;
    }

    pub(super) fn handle_closed(&self, stream: &TcpStream) {
        let mut state = self.state();
        if state.stream.as_ref().is_some_and(|current| is_same_connection(current, stream)) {
            state.drop_stream();
        }
    }

    /// Records that the peer could not be dialled.
    pub(super) fn handle_dial_failure(&self) {
        let mut state = self.state();
        state.is_dialling = false;
        state.redial_at = Some(Instant::now() + REDIAL_BACKOFF);
        if state.stream.is_none() {
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
