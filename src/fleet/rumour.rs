//! News of one member.

use serde::Deserialize;
use serde::Serialize;

use crate::fleet::Record;
use crate::fleet::Status;
use crate::id::Incarnation;
use crate::id::NodeId;

/// News of one member, small enough that many fit one message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Rumour {
    /// It is alive and describes itself so.
    Alive(Record),
    /// It did not refute a suspicion of this incarnation.
    Failed {
        /// The member.
        id: NodeId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// It left by its own will.
    Left {
        /// The member.
        id: NodeId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// An observer had no answer from it.
    Suspect {
        /// The observer.
        by: NodeId,
        /// The member.
        id: NodeId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
}

impl Rumour {
    /// Member concerned.
    pub fn id(&self) -> &NodeId {
        match self {
            Self::Alive(record) => &record.id,
            Self::Failed { id, .. } | Self::Left { id, .. } | Self::Suspect { id, .. } => id,
        }
    }

    /// Incarnation concerned.
    pub fn incarnation(&self) -> Incarnation {
        match self {
            Self::Alive(record) => record.incarnation,
            Self::Failed { incarnation, .. }
            | Self::Left { incarnation, .. }
            | Self::Suspect { incarnation, .. } => *incarnation,
        }
    }

    /// Status that it gives the member.
    pub fn status(&self) -> Status {
        match self {
            Self::Alive(_) => Status::Alive,
            Self::Failed { .. } => Status::Failed,
            Self::Left { .. } => Status::Left,
            Self::Suspect { .. } => Status::Suspect,
        }
    }
}
