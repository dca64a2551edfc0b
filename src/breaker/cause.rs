//! What took an upstream out.

use super::Tally;

/// What took an upstream out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// A broken answer.
    Broken,
    /// Errors of its own.
    Failed,
    /// A request that got no answer in its time.
    Hung,
    /// Several requests that still wait, longer than usual.
    Late,
    /// A request that still waits, far longer than usual.
    Overdue,
    /// Connections that could not be opened.
    Unreached,
}

impl Cause {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Broken => "broken",
            Self::Failed => "failed",
            Self::Hung => "hung",
            Self::Late => "late",
            Self::Overdue => "overdue",
            Self::Unreached => "unreached",
        }
    }

    /// What speaks most against an upstream of which this was received.
    pub(super) fn of(tally: &Tally) -> Self {
        match tally {
            tally if tally.broken > 0 => Self::Broken,
            tally if tally.hung > tally.overdue => Self::Hung,
            tally if tally.failed > 0 => Self::Failed,
            tally if tally.unreached > 0 => Self::Unreached,
            tally if tally.overdue > 0 => Self::Overdue,
            tally if tally.late > 0 => Self::Late,
            _ => Self::Failed,
        }
    }
}
