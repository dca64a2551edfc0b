//! Established connection to a peer.

use std::time::Duration;
use std::time::Instant;

use quinn::Connection;
use quinn::VarInt;
use rustls_pki_types::CertificateDer;

use crate::clock::Epoch;
use crate::id::NodeId;
use crate::keys;

/// Bytes of IP and UDP headers on each datagram.
const HEADER_BYTES: u64 = 28;

/// Datagrams sent since the last arrival that need no answer: the delayed acknowledgement of that
/// arrival. Lost packets are retransmitted, so a silent path soon exceeds this.
const UNANSWERED_DATAGRAMS: u64 = 1;

/// Why this end closes a connection.
#[derive(Clone, Copy, Debug)]
pub(super) enum CloseReason {
    /// The peer's certificate has expired.
    Expired,
    /// The peer's certificate has the name of this process.
    Refused,
    /// The path is silent, so the peer is unlikely to receive the close.
    Silent,
    /// Another connection to the same peer replaced it.
    Superseded,
    /// The endpoint closes, or the peer was removed.
    Stopped,
    /// The link is neither wanted nor used.
    Unwanted,
}

/// Established connection to a peer, with the counters that detect a silent path.
#[derive(Debug)]
pub(super) struct Session {
    /// QUIC connection.
    pub(super) connection: Connection,
    /// Whether this end dialled.
    pub(super) dialled: bool,
    /// Socket of its own, if it was dialled from a new port; it is closed with the session.
    pub(super) endpoint: Option<quinn::Endpoint>,
    /// When the peer's certificate expires.
    pub(super) expires: Epoch,
    /// When it was established.
    pub(super) since: Instant,
    received_datagrams: (u64, Instant),
    sent_at_last_arrival: u64,
    frames: (u64, Instant),
    unanswered_since: Option<Instant>,
}

impl Session {
    /// Wraps a connection after its handshake and returns it with the peer's name. `None` if the
    /// peer's certificate has no name or no expiry.
    pub(super) fn new(
        connection: Connection,
        dialled: bool,
        endpoint: Option<quinn::Endpoint>,
    ) -> Option<(NodeId, Self)> {
        let identity = connection.peer_identity()?;
        let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
        let certificate = chain.first()?;
        let id = keys::certified_id(certificate)?;
        let expires = keys::expiry(certificate)?;
        let since = Instant::now();
        let session = Self {
            connection,
            dialled,
            endpoint,
            expires,
            since,
            received_datagrams: (0, since),
            sent_at_last_arrival: 0,
            frames: (0, since),
            unanswered_since: None,
        };
        Some((id, session))
    }

    /// Closes the connection and sends the reason to the peer.
    pub(super) fn close(&self, reason: CloseReason) {
        self.connection.close(VarInt::from_u32(reason as u32), format!("{reason:?}").as_bytes());
    }

    /// Whether the connection has ended.
    pub(super) fn is_closed(&self) -> bool {
        self.connection.close_reason().is_some()
    }

    /// Returns the bytes sent and received, with IP and UDP headers.
    pub(super) fn bytes(&self) -> (u64, u64) {
        let stats = self.connection.stats();
        let bytes = |udp: quinn::UdpStats| udp.bytes + udp.datagrams * HEADER_BYTES;
        (bytes(stats.udp_tx), bytes(stats.udp_rx))
    }

    /// Updates the activity state from the counters of the connection; called regularly.
    ///
    /// A path that has lost the state of the flow drops all that is sent: datagrams leave and
    /// none arrive. The wait starts with the first datagram beyond [`UNANSWERED_DATAGRAMS`] after
    /// the last arrival, since the peer answers all but bare acknowledgements at once.
    pub(super) fn observe(&mut self, now: Instant) {
        let stats = self.connection.stats();
        if stats.udp_rx.datagrams != self.received_datagrams.0 {
            self.received_datagrams = (stats.udp_rx.datagrams, now);
            self.sent_at_last_arrival = stats.udp_tx.datagrams;
            self.unanswered_since = None;
        }
        if stats.udp_tx.datagrams > self.sent_at_last_arrival + UNANSWERED_DATAGRAMS
            && self.unanswered_since.is_none()
        {
            self.unanswered_since = Some(now);
        }
        let frames = stats.frame_tx.stream + stats.frame_rx.stream;
        if frames != self.frames.0 {
            self.frames = (frames, now);
        }
    }

    /// Whether an answer from the peer has been outstanding for at least `limit`.
    pub(super) fn is_silent(&self, now: Instant, limit: Duration) -> bool {
        self.unanswered_since.is_some_and(|since| now.duration_since(since) >= limit)
    }

    /// Returns the time since the last stream frame in either direction.
    pub(super) fn idle_time(&self, now: Instant) -> Duration {
        now.duration_since(self.frames.1)
    }
}
