//! Messages between members.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::fleet::Record;
use crate::fleet::Repair;
use crate::fleet::StatusUpdate;
use crate::id::ConfigNumber;
use crate::id::NodeId;

/// Message between members. Encoded, it fits a datagram of 1,100 bytes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Answer to a ping.
    Ack {
        /// Configuration in force at the sender.
        config: ConfigNumber,
        /// Root hash of the digest of the sender's members.
        root: u32,
        /// Sequence number of the ping.
        sequence: u32,
    },
    /// Request to join the fleet.
    Join(Record),
    /// Probe that the receiver acknowledges.
    Ping {
        /// Suspicion or failure of the receiver as the sender knows it, for the receiver to refute.
        about: Option<Box<StatusUpdate>>,
        /// Address at which the sender accepts links. A receiver that has just started may not
        /// know the sender yet, and would be suspected for not answering.
        address: SocketAddr,
        /// Configuration in force at the sender.
        config: ConfigNumber,
        /// Root hash of the digest of the sender's members.
        root: u32,
        /// Sequence number, repeated in the answer.
        sequence: u32,
    },
    /// Request for an indirect ping: the receiver pings `target` and reports an answer.
    Relay {
        /// Sequence number, repeated in the report.
        sequence: u32,
        /// Member to ping.
        target: NodeId,
    },
    /// Report that `target` answered the indirect ping that the receiver requested.
    Relayed {
        /// Sequence number of the request.
        sequence: u32,
        /// Member that answered.
        target: NodeId,
    },
    /// Step of a digest comparison (anti-entropy).
    Repair(Repair),
    /// Updates about members.
    Rumours(Vec<StatusUpdate>),
}
