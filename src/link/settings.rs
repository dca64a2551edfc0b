//! Settings of an endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use crate::id::NodeId;
use crate::keys::Paths;

/// Settings of an endpoint; the times have defaults by [`Settings::new`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Time between dials of a peer that can't be reached, doubled up to
    /// `dial_gap_max`.
    pub dial_gap: Duration,
    /// Longest time between two dials.
    pub dial_gap_max: Duration,
    /// Longest handshake: three round trips between regions, and a lost packet.
    pub dial_limit: Duration,
    /// Frames older than this are dropped unsent: whoever sent them has sent again.
    pub frame_age: Duration,
    /// Time without a packet after which the dialling end sends one. It costs about
    /// 120 bytes, so ten idle links take 4% of 3 KB a second.
    pub keep_alive: Duration,
    /// Certificate files of this VM.
    pub keys: Paths,
    /// UDP address to listen at.
    pub listen: SocketAddr,
    /// Name of this process; its certificate must say the same.
    pub me: NodeId,
    /// Time without any packet from a peer that owes an acknowledgement, after
    /// which the path counts as silent and is dialled from a new port.
    pub silent_after: Duration,
    /// Time after which a link that is not wanted and not used is closed.
    pub unwanted_after: Duration,
}

impl Settings {
    /// Settings with the usual times.
    pub fn new(me: NodeId, listen: SocketAddr, keys: Paths) -> Self {
        Self {
            dial_gap: Duration::from_millis(200),
            dial_gap_max: Duration::from_secs(10),
            dial_limit: Duration::from_secs(3),
            frame_age: Duration::from_secs(5),
            keep_alive: Duration::from_secs(10),
            keys,
            listen,
            me,
            silent_after: Duration::from_secs(3),
            unwanted_after: Duration::from_secs(30),
        }
    }
}
