//! State of an endpoint for operators.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;

use crate::clock::Epoch;
use crate::id::NodeId;

/// State of the link to one peer.
#[derive(Clone, Debug, Serialize)]
pub struct PeerStatus {
    /// Address of the peer, while there is a connection.
    pub address: Option<SocketAddr>,
    /// Frames dropped because the queue was full, they were too old or the connection failed.
    pub dropped: u64,
    /// Why the last dial failed. Cleared once a connection counts as accepted.
    pub error: Option<String>,
    /// Name of the peer.
    pub id: NodeId,
    /// Local port, while there is a connection that was dialled from a port of its own.
    pub local_port: Option<u16>,
    /// Frames that wait to be sent.
    pub queued: usize,
    /// Bytes received over the current connection, with IP and UDP headers.
    pub received_bytes: u64,
    /// Round-trip time, while there is a connection.
    pub round_trip: Option<Duration>,
    /// Bytes sent over the current connection, with IP and UDP headers.
    pub sent_bytes: u64,
    /// Number of times that the path was found silent.
    pub silences: u64,
    /// Whether the link is kept up while idle.
    pub wanted: bool,
}

/// Refused connection.
#[derive(Clone, Debug, Serialize)]
pub struct Refusal {
    /// Address of the dialling end.
    pub address: SocketAddr,
    /// Time of the refusal.
    pub at: Epoch,
    /// Reason of the refusal.
    pub reason: String,
}

/// State of an endpoint.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// When this VM's certificate expires.
    pub certificate_until: Epoch,
    /// Why a renewed certificate could not be loaded; the old one stays in use.
    pub keys_error: Option<String>,
    /// Links, sorted by the name of the peer.
    pub peers: Vec<PeerStatus>,
    /// Connections refused since the start.
    pub refused: u64,
    /// The most recent refusals, oldest first.
    pub refusals: Vec<Refusal>,
}
