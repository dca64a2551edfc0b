//! Why an upstream was taken out.

use super::Counts;

/// Why an upstream was taken out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// A truncated or corrupted answer.
    Broken,
    /// Error answers of the upstream itself.
    Failed,
    /// A request that timed out.
    Hung,
    /// Several pending requests that wait for longer than usual.
    Late,
    /// A pending request that waits for far longer than usual.
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

    /// The strongest evidence of a fault in these counts.
    pub(super) fn from_counts(counts: &Counts) -> Self {
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
