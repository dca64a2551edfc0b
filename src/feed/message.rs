//! Messages between controls and entries.

use serde::Deserialize;
use serde::Serialize;

use super::Control;
use super::Poll;
use super::Report;
use super::Tallies;
use super::Update;
use super::transfer;
use crate::id::NodeId;
use crate::poison;
use crate::quorum::DiskId;
use crate::quota;

/// Messages between controls and entries.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// A control announces itself and the identity of its disk to other controls.
    Hello {
        /// The control.
        control: Control,
        /// Identity of its disk, once it has one.
        disk: Option<DiskId>,
        /// Digest of the quarantines that it knows.
        quarantined: u64,
        /// The entries that poll it.
        ready: Report,
    },
    /// A control sends another one the known controls and the leader.
    Controls {
        /// The controls.
        controls: Vec<Control>,
        /// The leader, if it is known.
        leader: Option<NodeId>,
    },
    /// An update from a control, polled or pushed.
    News(Box<Update>),
    /// An entry's poll.
    Poll(Box<Poll>),
    /// Results that callers of the sender's entries received, forwarded to another control.
    Tallies(Tallies),
    /// A control sends another one quarantines that it doesn't know.
    Quarantine(poison::Report),
    /// A control asks another one for the entries that poll it.
    ReportWanted,
    /// An entry requests different shares of quota allowances.
    Ask {
        /// Identifies the request at its sender.
        ticket: u64,
        /// The requested shares.
        ask: quota::Demand,
    },
    /// The shares of quota allowances that an entry holds from now on.
    Grant {
        /// Identifier of the request that this grant answers.
        ticket: u64,
        /// The granted shares.
        grant: quota::Grant,
    },
    /// An entry requests a part of a change of the configuration.
    Request(transfer::Request),
    /// A part of a change of the configuration.
    Part(transfer::Part),
}
