//! Send queues and connection of one peer.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use quinn::Connection;
use quinn::ConnectionError;

use crate::id::NodeId;

use super::queue::Queue;
use super::session::CloseReason;
use super::session::Session;
use super::status::PeerStatus;

/// Frames above this size have a queue of their own, so that a document in transfer does not delay
/// heartbeats.
const MAX_SMALL_BYTES: usize = 16 << 10;
/// Limit of queued small frames for one peer.
const SMALL_QUEUE_BYTES: usize = 512 << 10;
/// Limit of queued large frames for one peer: two documents and some patches.
const LARGE_QUEUE_BYTES: usize = 4 << 20;
/// Failed dials after which the backoff is doubled no more.
const MAX_BACKOFF_DOUBLINGS: u32 = 10;
/// Age below which two connections, one dialled by each end, count as dialled simultaneously.
const SIMULTANEOUS_DIAL_WINDOW: Duration = Duration::from_secs(2);

/// Age at which a connection counts as accepted by the peer. In TLS 1.3 the handshake of the
/// dialling end completes before the peer has checked its certificate.
const ACCEPTED_AFTER: Duration = Duration::from_secs(1);

/// Send queues and connection of one peer.
#[derive(Debug)]
pub(super) struct Peer {
    /// Held while the peer is being dialled.
    pub(super) dialling: async_std::sync::Mutex<()>,
    /// Name of the peer.
    pub(super) id: NodeId,
    /// Frames above 16 KiB.
    pub(super) large: Queue,
    /// Frames up to 16 KiB.
    pub(super) small: Queue,
    state: Mutex<State>,
}

/// Mutable state of a peer.
#[derive(Debug, Default)]
pub(super) struct State {
    /// Address to dial.
    pub(super) address: Option<SocketAddr>,
    /// Why the last dial failed.
    pub(super) error: Option<String>,
    /// Consecutive dials that failed or whose connection the peer soon closed.
    pub(super) failures: u32,
    /// Whether the next dial uses a new local port, because the path may have lost the state of
    /// the flow from the usual one.
    pub(super) use_new_port: bool,
    /// Session in use.
    pub(super) session: Option<Session>,
    /// Earliest time of the next dial.
    pub(super) retry_at: Option<Instant>,
    /// Number of times that the path was found silent.
    pub(super) silences: u64,
    /// Whether the link is kept up while idle.
    pub(super) wanted: bool,
}

impl Peer {
    /// Creates a peer without a connection.
    pub(super) fn new(id: NodeId) -> Self {
        Self {
            dialling: async_std::sync::Mutex::new(()),
            id,
            large: Queue::new(LARGE_QUEUE_BYTES),
            small: Queue::new(SMALL_QUEUE_BYTES),
            state: Mutex::default(),
        }
    }

    /// Locks the mutable state.
    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a frame without waiting.
    pub(super) fn push(&self, frame: Vec<u8>) {
        if frame.len() > MAX_SMALL_BYTES { self.large.push(frame) } else { self.small.push(frame) }
    }

    /// Returns the connection in use.
    pub(super) fn connection(&self) -> Option<Connection> {
        let mut state = self.state();
        state.session.take_if(|session| session.is_closed());
        state.session.as_ref().map(|session| session.connection.clone())
    }

    /// Uses a new session in place of an older one.
    ///
    /// When both ends dialled simultaneously, both keep the session that the peer with the lower
    /// name dialled. Otherwise the newer one wins: its dialler found the older one silent.
    pub(super) fn adopt(&self, session: Session, own_id: &NodeId) {
        let mut state = self.state();
        let is_old_kept = state.session.as_ref().is_some_and(|old| {
            let is_simultaneous =
                old.dialled != session.dialled && old.since.elapsed() < SIMULTANEOUS_DIAL_WINDOW;
            is_simultaneous && !old.is_closed() && old.dialled == (*own_id < self.id)
        });
        if is_old_kept {
            session.close(CloseReason::Superseded);
            return;
        }
        state.use_new_port = false;
        if let Some(old) = state.session.replace(session) {
            old.close(CloseReason::Superseded);
        }
    }

    /// Records a failed dial, or a connection that ended before it counted as accepted, and delays
    /// the next dial by a backoff.
    pub(super) fn note_failure(&self, reason: String, backoff: Duration, backoff_max: Duration) {
        let mut state = self.state();
        tracing::warn!(peer = %self.id, reason, "link failed");
        let delay = backoff * 2_u32.saturating_pow(state.failures.min(MAX_BACKOFF_DOUBLINGS));
        state.error = Some(reason);
        state.failures += 1;
        state.use_new_port = true;
        state.retry_at = Some(Instant::now() + delay.min(backoff_max));
    }

    /// Records that the peer or the library ended a connection.
    pub(super) fn note_end(
        &self,
        since: Instant,
        error: &ConnectionError,
        backoff: Duration,
        backoff_max: Duration,
    ) {
        match error {
            ConnectionError::TimedOut => self.state().note_silence(&self.id),
            ConnectionError::ConnectionClosed(_) | ConnectionError::TransportError(_)
                if since.elapsed() < ACCEPTED_AFTER =>
            {
                self.note_failure(error.to_string(), backoff, backoff_max);
            }
            _ => {}
        }
    }

    /// Closes the session in use.
    pub(super) fn close(&self, reason: CloseReason) {
        if let Some(session) = self.state().session.take() {
            session.close(reason);
        }
    }

    /// Ends the peer's send tasks and closes its session.
    pub(super) fn stop(&self) {
        self.small.close();
        self.large.close();
        self.close(CloseReason::Stopped);
    }

    /// Returns the state that operators see.
    pub(super) fn status(&self) -> PeerStatus {
        let state = self.state();
        let session = state.session.as_ref().filter(|session| !session.is_closed());
        let (sent_bytes, received_bytes) = session.map(Session::bytes).unwrap_or_default();
        let socket = session
            .and_then(|session| session.endpoint.as_ref())
            .and_then(|endpoint| endpoint.local_addr().ok());
        PeerStatus {
            address: session.map(|session| session.connection.remote_address()),
            dropped: self.small.dropped() + self.large.dropped(),
            error: state.error.clone(),
            id: self.id.clone(),
            local_port: socket.map(|address| address.port()),
            queued: self.small.len() + self.large.len(),
            received_bytes,
            round_trip: session.map(|session| session.connection.rtt()),
            sent_bytes,
            silences: state.silences,
            wanted: state.wanted,
        }
    }

    /// Closes a session that is silent, expired or unwanted. Returns whether to dial the peer.
    pub(super) fn supervise(&self, now: Instant, wall_time: Duration, limits: &Limits) -> bool {
        let mut state = self.state();
        let Some(session) = state.session.as_mut() else { return state.wanted };
        session.observe(now);
        let dialled = session.dialled;
        let is_accepted = session.since.elapsed() >= ACCEPTED_AFTER;
        let reason = if session.is_closed() {
            return state.wanted;
        } else if session.is_silent(now, limits.silent_after) {
            CloseReason::Silent
        } else if session.expires <= wall_time {
            CloseReason::Expired
        } else if dialled && session.idle_time(now) >= limits.unwanted_after && !state.wanted {
            CloseReason::Unwanted
        } else {
            if is_accepted {
                state.failures = 0;
                state.error = None;
            }
            return false;
        };
        if let Some(session) = state.session.take() {
            session.close(reason);
        }
        if matches!(reason, CloseReason::Silent) {
            state.note_silence(&self.id);
        }
        state.wanted
    }
}

impl State {
    fn note_silence(&mut self, id: &NodeId) {
        tracing::warn!(peer = %id, "link is silent, to be dialled from a new port");
        self.silences += 1;
        self.use_new_port = true;
    }
}

/// Limits after which a session is closed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    /// Longest wait for an outstanding answer.
    pub(super) silent_after: Duration,
    /// Longest time without a frame on a link that is not wanted.
    pub(super) unwanted_after: Duration,
}
