//! Log entries about upstreams.

use serde::Deserialize;
use serde::Serialize;

use super::Change;
use super::Departure;
use super::Outcome;
use crate::id::UpstreamId;
use crate::registry::State;

/// Log entry about one upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Action {
    /// The upstream announced its state.
    Announce(Change),
    /// The upstream reported that it is leaving. Logs hold this only if an earlier build wrote it;
    /// a control that reads it makes it a [`Self::Depart`].
    Leave(UpstreamId),
    /// The upstream reported that it is leaving, as a control read it.
    Depart(Departure),
    /// A start of the upstream that the table holds to be over goes on announcing itself.
    Return(Change),
}

impl Action {
    /// The upstream that it is about.
    pub fn upstream(&self) -> &UpstreamId {
        match self {
            Self::Announce(change) | Self::Return(change) => &change.announcement.upstream,
            Self::Depart(departure) => &departure.upstream,
            Self::Leave(upstream) => upstream,
        }
    }

    /// Whether its sender may be told only once the log has committed it. A renewal that changes
    /// nothing may be answered from any table, and so may what is not accepted.
    pub fn needs_commit(&self, outcome: Outcome) -> bool {
        match outcome {
            Outcome::Changed => true,
            Outcome::Kept => !self.is_ready(),
            Outcome::Stale(_) => false,
        }
    }

    /// Whether an upstream says that it takes requests.
    fn is_ready(&self) -> bool {
        match self {
            Self::Announce(change) | Self::Return(change) => {
                change.announcement.state == State::Ready
            }
            Self::Depart(_) | Self::Leave(_) => false,
        }
    }
}
