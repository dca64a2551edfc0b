use crate::id::ClassId;
use crate::id::TeamId;

use super::Limit;

/// A team as described by a configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Class of its requests, which takes precedence over the class that rules assign.
    pub class: Option<ClassId>,
    /// Rate limit; unlimited if unset.
    pub limit: Option<Limit>,
    /// Name of the team.
    pub name: TeamId,
}
