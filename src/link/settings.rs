//! Settings of an endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use crate::id::NodeId;
use crate::keys::Paths;

/// Settings of an endpoint. [`Settings::new`] sets the defaults of the durations.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Delay before an unreachable peer is dialled again, doubled by each failure up to
    /// `dial_backoff_max`.
    pub dial_backoff: Duration,
    /// Longest delay before an unreachable peer is dialled again.
    pub dial_backoff_max: Duration,
    /// Timeout of a handshake: three round trips between regions and a lost packet.
    pub handshake_timeout: Duration,
    /// Age above which queued frames are dropped unsent: their sender has retransmitted them.
    pub max_frame_age: Duration,
    /// Time without a packet after which the dialling end sends a keep-alive. One costs about 120
    /// bytes, so ten idle links take 4% of 3 KB a second.
    pub keep_alive: Duration,
    /// Certificate files of this VM.
    pub keys: Paths,
    /// UDP address to listen on.
    pub listen: SocketAddr,
    /// Name of this process, which its certificate must have.
    pub id: NodeId,
    /// Time without any packet from a peer that has yet to acknowledge some. Afterwards the path
    /// counts as silent, and the peer is dialled from a new port.
    pub silent_after: Duration,
    /// Time after which an unused link that is not wanted is closed.
    pub unwanted_after: Duration,
}

impl Settings {
    /// Creates settings with the default durations.
    pub fn new(id: NodeId, listen: SocketAddr, keys: Paths) -> Self {
        Self {
            dial_backoff: Duration::from_millis(200),
            dial_backoff_max: Duration::from_secs(10),
            handshake_timeout: Duration::from_secs(3),
            max_frame_age: Duration::from_secs(5),
            keep_alive: Duration::from_secs(10),
            keys,
            listen,
            id,
            silent_after: Duration::from_secs(3),
            unwanted_after: Duration::from_secs(30),
        }
    }
}
