//! What members send each other.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::fleet::Record;
use crate::fleet::Repair;
use crate::fleet::Rumour;
use crate::id::ConfigNumber;
use crate::id::NodeId;

/// One message; encoded, it fits a datagram of 1,100 bytes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Answers a ping.
    Ack {
        /// Configuration in force at the sender.
        config: ConfigNumber,
        /// Digest of the sender's members.
        root: u32,
        /// Number of the ping.
        sequence: u32,
    },
    /// Asks to be taken in.
    Join(Record),
    /// Asks for an answer.
    Ping {
        /// What the sender holds against the receiver, for the receiver to refute.
        about: Option<Box<Rumour>>,
        /// Where the sender listens for links: a receiver that has just started may not
        /// know the sender yet, and would be suspected for not answering.
        address: SocketAddr,
        /// Configuration in force at the sender.
        config: ConfigNumber,
        /// Digest of the sender's members.
        root: u32,
        /// Number that the answer repeats.
        sequence: u32,
    },
    /// Asks the receiver to ping `target` and to report an answer.
    Relay {
        /// Number that the report repeats.
        sequence: u32,
        /// Whom to ping.
        target: NodeId,
    },
    /// Reports that `target` answered the receiver's ping through the sender.
    Relayed {
        /// Number of the request.
        sequence: u32,
        /// Who answered.
        target: NodeId,
    },
    /// Step of a comparison of digests.
    Repair(Repair),
    /// News of members.
    Rumours(Vec<Rumour>),
}
