use serde::Deserialize;
use serde::Serialize;

use crate::id::TeamId;

/// What an allowance is for.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Subject {
    /// Requests of a team.
    Team(TeamId),
}
