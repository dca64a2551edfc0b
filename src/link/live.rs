//! One established connection.

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

/// Datagrams that leave without being owed an answer: the delayed acknowledgement
/// of what came last. A lost packet is sent again, so a real wait soon has more.
const QUIET_DATAGRAMS: u64 = 1;

/// Why this end closes a connection.
#[derive(Clone, Copy, Debug)]
pub(super) enum Reason {
    /// The peer's certificate has expired.
    Expired,
    /// The peer is not who it may be.
    Refused,
    /// The path is silent; the peer won't hear of it.
    Silent,
    /// Another connection to the same peer took over.
    Superseded,
    /// The process stops.
    Stopped,
    /// Nobody uses it.
    Unwanted,
}

/// One established connection, as this end sees it.
#[derive(Debug)]
pub(super) struct Live {
    /// The connection.
    pub(super) connection: Connection,
    /// Whether this end dialled.
    pub(super) dialled: bool,
    /// Socket of its own, if it was dialled from a new port; it ends with this.
    pub(super) endpoint: Option<quinn::Endpoint>,
    /// When the peer's certificate expires.
    pub(super) expires: Epoch,
    /// When it was established.
    pub(super) since: Instant,
    heard: (u64, Instant),
    sent: u64,
    used: (u64, Instant),
    waiting_since: Option<Instant>,
}

impl Live {
    /// Wraps a connection whose handshake is done, and tells whose it is.
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
        let live = Self {
            connection,
            dialled,
            endpoint,
            expires,
            since,
            heard: (0, since),
            sent: 0,
            used: (0, since),
            waiting_since: None,
        };
        Some((id, live))
    }

    /// Closes it and tells the peer.
    pub(super) fn close(&self, reason: Reason) {
        self.connection.close(VarInt::from_u32(reason as u32), format!("{reason:?}").as_bytes());
    }

    /// Whether it has ended.
    pub(super) fn is_closed(&self) -> bool {
        self.connection.close_reason().is_some()
    }

    /// Bytes sent and received, with IP and UDP headers.
    pub(super) fn bytes(&self) -> (u64, u64) {
        let stats = self.connection.stats();
        let bytes = |udp: quinn::UdpStats| udp.bytes + udp.datagrams * HEADER_BYTES;
        (bytes(stats.udp_tx), bytes(stats.udp_rx))
    }

    /// Looks at the counters; called regularly.
    ///
    /// A path that lost track of the connection swallows what is sent: datagrams
    /// leave, none come in. Whatever leaves first after the last arrival starts
    /// the wait, since all but bare acknowledgements are answered at once.
    pub(super) fn observe(&mut self, now: Instant) {
        let stats = self.connection.stats();
        if stats.udp_rx.datagrams != self.heard.0 {
            self.heard = (stats.udp_rx.datagrams, now);
            self.sent = stats.udp_tx.datagrams;
            self.waiting_since = None;
        }
        if stats.udp_tx.datagrams > self.sent + QUIET_DATAGRAMS && self.waiting_since.is_none() {
            self.waiting_since = Some(now);
        }
        let frames = stats.frame_tx.stream + stats.frame_rx.stream;
        if frames != self.used.0 {
            self.used = (frames, now);
        }
    }

    /// Whether the peer has owed a sign of life for this long.
    pub(super) fn is_silent(&self, now: Instant, limit: Duration) -> bool {
        self.waiting_since.is_some_and(|since| now.duration_since(since) >= limit)
    }

    /// Time since the last frame either way.
    pub(super) fn unused(&self, now: Instant) -> Duration {
        now.duration_since(self.used.1)
    }
}
