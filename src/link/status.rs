//! What an endpoint shows of itself.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;

use crate::clock::Epoch;
use crate::id::NodeId;

/// One link.
#[derive(Clone, Debug, Serialize)]
pub struct PeerStatus {
    /// Address of the other end, while there is a connection.
    pub address: Option<SocketAddr>,
    /// Frames dropped: the queue was full, they were too old, or the connection
    /// failed.
    pub dropped: u64,
    /// Last reason why no link could be made.
    pub error: Option<String>,
    /// Name of the peer.
    pub id: NodeId,
    /// Local port, while there is a connection that this end dialled.
    pub local_port: Option<u16>,
    /// Frames waiting.
    pub queued: usize,
    /// Bytes received over the present connection, with IP and UDP headers.
    pub received_bytes: u64,
    /// Round trip, while there is a connection.
    pub round_trip: Option<Duration>,
    /// Bytes sent over the present connection, with IP and UDP headers.
    pub sent_bytes: u64,
    /// Times that the path was found silent.
    pub silences: u64,
    /// Whether the link is kept up while idle.
    pub wanted: bool,
}

/// Somebody whose certificate or handshake was refused.
#[derive(Clone, Debug, Serialize)]
pub struct Refusal {
    /// Address that it came from.
    pub address: SocketAddr,
    /// When.
    pub at: Epoch,
    /// Why.
    pub reason: String,
}

/// State of an endpoint.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// When this VM's certificate expires.
    pub certificate_until: Epoch,
    /// Why a renewed certificate could not be taken up; the old one is in use.
    pub keys_error: Option<String>,
    /// The links, by name.
    pub peers: Vec<PeerStatus>,
    /// Connections refused since the start.
    pub refused: u64,
    /// The last few of them.
    pub refusals: Vec<Refusal>,
}
