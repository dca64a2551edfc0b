//! Gossiped update about a member.

use serde::Deserialize;
use serde::Serialize;

use crate::fleet::Record;
use crate::fleet::Status;
use crate::id::Incarnation;
use crate::id::NodeId;

/// Update about a member, small enough that many fit one message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StatusUpdate {
    /// The member is alive, with its own description.
    Alive(Record),
    /// The member did not refute a suspicion of this incarnation.
    Failed {
        /// The member.
        id: NodeId,
        /// Incarnation of the member.
        incarnation: Incarnation,
    },
    /// The member left voluntarily.
    Left {
        /// The member.
        id: NodeId,
        /// Incarnation of the member.
        incarnation: Incarnation,
    },
    /// An observer got no answer from the member.
    Suspect {
        /// The observer.
        by: NodeId,
        /// The member.
        id: NodeId,
        /// Incarnation of the member.
        incarnation: Incarnation,
    },
}

impl StatusUpdate {
    /// Member that the update is about.
    pub fn id(&self) -> &NodeId {
        match self {
            Self::Alive(record) => &record.id,
            Self::Failed { id, .. } | Self::Left { id, .. } | Self::Suspect { id, .. } => id,
        }
    }

    /// Incarnation that the update is about.
    pub fn incarnation(&self) -> Incarnation {
        match self {
            Self::Alive(record) => record.incarnation,
            Self::Failed { incarnation, .. }
            | Self::Left { incarnation, .. }
            | Self::Suspect { incarnation, .. } => *incarnation,
        }
    }

    /// Status that the update gives to the member.
    pub fn status(&self) -> Status {
        match self {
            Self::Alive(_) => Status::Alive,
            Self::Failed { .. } => Status::Failed,
            Self::Left { .. } => Status::Left,
            Self::Suspect { .. } => Status::Suspect,
        }
    }
}
