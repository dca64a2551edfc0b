//! One peer: its queues and its connection.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use quinn::Connection;
use quinn::ConnectionError;

use crate::id::NodeId;

use super::live::Live;
use super::live::Reason;
use super::queue::Queue;
use super::status::PeerStatus;

/// Frames above this size go by a queue of their own, so that a document on its
/// way does not hold up heartbeats behind it.
const SMALL_BYTES: usize = 16 << 10;
/// Bytes of small frames that wait for one peer.
const SMALL_QUEUE_BYTES: usize = 512 << 10;
/// Bytes of large frames that wait for one peer: two documents and some patches.
const LARGE_QUEUE_BYTES: usize = 4 << 20;
/// Doublings of the time between dials that are counted.
const BACKOFF_LIMIT: u32 = 10;
/// Connections that both ends dialled at about the same time.
const CROSSED: Duration = Duration::from_secs(2);

/// Age at which a connection counts as accepted by the peer: in TLS 1.3 the
/// dialling end is done before its own certificate is checked.
const PROVEN: Duration = Duration::from_secs(1);

/// One peer: its queues and its connection.
#[derive(Debug)]
pub(super) struct Peer {
    /// Held while it is being dialled.
    pub(super) dialling: async_std::sync::Mutex<()>,
    /// Its name.
    pub(super) id: NodeId,
    /// Frames above 16 KiB.
    pub(super) large: Queue,
    /// All other frames.
    pub(super) small: Queue,
    state: Mutex<State>,
}

/// What changes of a peer.
#[derive(Debug, Default)]
pub(super) struct State {
    /// Where to dial it.
    pub(super) address: Option<SocketAddr>,
    /// Why the last dial failed.
    pub(super) error: Option<String>,
    /// Dials in a row that failed, or that the peer soon ended.
    pub(super) failures: u32,
    /// Whether the next dial takes a new port: the flow from the usual one may be
    /// what the path has lost track of.
    pub(super) fresh_port: bool,
    /// The connection in use.
    pub(super) live: Option<Live>,
    /// When it may be dialled again.
    pub(super) retry_at: Option<Instant>,
    /// Times that the path was found silent.
    pub(super) silences: u64,
    /// Whether the link is kept up.
    pub(super) wanted: bool,
}

impl Peer {
    /// Peer without a connection.
    pub(super) fn new(id: NodeId) -> Self {
        Self {
            dialling: async_std::sync::Mutex::new(()),
            id,
            large: Queue::new(LARGE_QUEUE_BYTES),
            small: Queue::new(SMALL_QUEUE_BYTES),
            state: Mutex::default(),
        }
    }

    /// What changes of it.
    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a frame; never waits.
    pub(super) fn push(&self, frame: Vec<u8>) {
        if frame.len() > SMALL_BYTES { self.large.push(frame) } else { self.small.push(frame) }
    }

    /// The connection in use.
    pub(super) fn connection(&self) -> Option<Connection> {
        let mut state = self.state();
        state.live.take_if(|live| live.is_closed());
        state.live.as_ref().map(|live| live.connection.clone())
    }

    /// Takes a new connection into use, in place of an older one.
    ///
    /// When both ends dialled at once, both keep the one that the lower name
    /// dialled. Otherwise the newer one wins: its dialler found the older silent.
    pub(super) fn adopt(&self, live: Live, me: &NodeId) {
        let mut state = self.state();
        let keeps_old = state.live.as_ref().is_some_and(|old| {
            let crossed = old.dialled != live.dialled && old.since.elapsed() < CROSSED;
            crossed && !old.is_closed() && old.dialled == (*me < self.id)
        });
        if keeps_old {
            live.close(Reason::Superseded);
            return;
        }
        state.fresh_port = false;
        if let Some(old) = state.live.replace(live) {
            old.close(Reason::Superseded);
        }
    }

    /// Notes a dial that failed, or a connection that ended before it was proven,
    /// and puts off the next dial.
    pub(super) fn note_failure(&self, reason: String, gap: Duration, gap_max: Duration) {
        let mut state = self.state();
        tracing::warn!(peer = %self.id, reason, "no link");
        let gap = gap * 2_u32.saturating_pow(state.failures.min(BACKOFF_LIMIT));
        state.error = Some(reason);
        state.failures += 1;
        state.fresh_port = true;
        state.retry_at = Some(Instant::now() + gap.min(gap_max));
    }

    /// Notes that the peer, or the library, ended a connection.
    pub(super) fn note_end(
        &self,
        since: Instant,
        error: &ConnectionError,
        gap: Duration,
        gap_max: Duration,
    ) {
        match error {
            ConnectionError::TimedOut => self.state().note_silence(&self.id),
            ConnectionError::ConnectionClosed(_) | ConnectionError::TransportError(_)
                if since.elapsed() < PROVEN =>
            {
                self.note_failure(error.to_string(), gap, gap_max);
            }
            _ => {}
        }
    }

    /// Closes the connection in use.
    pub(super) fn close(&self, reason: Reason) {
        if let Some(live) = self.state().live.take() {
            live.close(reason);
        }
    }

    /// Ends the peer's tasks.
    pub(super) fn stop(&self) {
        self.small.close();
        self.large.close();
        self.close(Reason::Stopped);
    }

    /// What it shows of itself.
    pub(super) fn status(&self) -> PeerStatus {
        let state = self.state();
        let live = state.live.as_ref().filter(|live| !live.is_closed());
        let (sent_bytes, received_bytes) = live.map(Live::bytes).unwrap_or_default();
        let socket = live
            .and_then(|live| live.endpoint.as_ref())
            .and_then(|endpoint| endpoint.local_addr().ok());
        PeerStatus {
            address: live.map(|live| live.connection.remote_address()),
            dropped: self.small.dropped() + self.large.dropped(),
            error: state.error.clone(),
            id: self.id.clone(),
            local_port: socket.map(|address| address.port()),
            queued: self.small.len() + self.large.len(),
            received_bytes,
            round_trip: live.map(|live| live.connection.rtt()),
            sent_bytes,
            silences: state.silences,
            wanted: state.wanted,
        }
    }

    /// Looks after the connection; true when the peer is to be dialled.
    pub(super) fn supervise(&self, now: Instant, at: Duration, limits: &Limits) -> bool {
        let mut state = self.state();
        let Some(live) = state.live.as_mut() else { return state.wanted };
        live.observe(now);
        let dialled = live.dialled;
        let proven = live.since.elapsed() >= PROVEN;
        let reason = if live.is_closed() {
            return state.wanted;
        } else if live.is_silent(now, limits.silent_after) {
            Reason::Silent
        } else if live.expires <= at {
            Reason::Expired
        } else if dialled && live.unused(now) >= limits.unwanted_after && !state.wanted {
            Reason::Unwanted
        } else {
            if proven {
                state.failures = 0;
                state.error = None;
            }
            return false;
        };
        if let Some(live) = state.live.take() {
            live.close(reason);
        }
        if matches!(reason, Reason::Silent) {
            state.note_silence(&self.id);
        }
        state.wanted
    }
}

impl State {
    fn note_silence(&mut self, id: &NodeId) {
        tracing::warn!(peer = %id, "link is silent, to be dialled from a new port");
        self.silences += 1;
        self.fresh_port = true;
    }
}

/// Times that a connection is judged by.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    /// Longest wait for a sign of life that is owed.
    pub(super) silent_after: Duration,
    /// Longest time without a frame of a link that is not wanted.
    pub(super) unwanted_after: Duration,
}
