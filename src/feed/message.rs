//! What goes between controls and entries.

use serde::Deserialize;
use serde::Serialize;

use super::Control;
use super::News;
use super::Poll;
use super::Ready;
use super::Tallies;
use crate::id::NodeId;
use crate::quorum::DiskId;
use crate::quota;

/// What goes between controls and entries.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// A control says that it is there, with the identity of its disk.
    Hello {
        /// The control.
        control: Control,
        /// Its disk, once it has one.
        disk: Option<DiskId>,
        /// The entries that ask it.
        ready: Ready,
    },
    /// A control tells another one which controls there are, and which leads.
    Controls {
        /// The controls.
        controls: Vec<Control>,
        /// The leader, if it is known.
        leader: Option<NodeId>,
    },
    /// A control's answer.
    News(Box<News>),
    /// An entry's question.
    Poll(Poll),
    /// What callers of a control's entries received, to another control.
    Tallies(Tallies),
    /// An entry wants other parts of allowances.
    Ask {
        /// Names the ask at its sender.
        ticket: u64,
        /// The parts.
        ask: quota::Demand,
    },
    /// What an entry holds of allowances from now on.
    Grant {
        /// The ask's name.
        ticket: u64,
        /// The parts.
        grant: quota::Grant,
    },
}
