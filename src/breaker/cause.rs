//! What took an upstream out.

use super::Counts;

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
    pub(super) fn of(counts: &Counts) -> Self {
        match counts {
            counts if counts.broken > 0 => Self::Broken,
            counts if counts.hung > counts.overdue => Self::Hung,
            counts if counts.failed > 0 => Self::Failed,
            counts if counts.unreached > 0 => Self::Unreached,
            counts if counts.overdue > 0 => Self::Overdue,
            counts if counts.late > 0 => Self::Late,
            _ => Self::Failed,
        }
    }
}
