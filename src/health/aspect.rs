use crate::health::Kind;
use crate::health::Reason;

/// A respect in which an upstream can be gray; each is tested by itself, as an
/// upstream that errs fast would otherwise be cleared by its good latencies.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Aspect {
    /// Answers that came and were no whole answers: the upstream's own doing.
    Failing,
    /// Nothing came, or no connection: the upstream's doing, or the path's.
    Silent,
    /// Whole answers that came late.
    Slow,
}

impl Aspect {
    pub(crate) const ALL: [Self; 3] = [Self::Failing, Self::Silent, Self::Slow];

    /// What a failure speaks to.
    pub(crate) fn of(kind: Kind) -> Option<Self> {
        match kind {
            Kind::ConnectFailed | Kind::Silent => Some(Self::Silent),
            Kind::Cut | Kind::ServerError | Kind::Timeout => Some(Self::Failing),
            Kind::Refused | Kind::Success => None,
        }
    }

    /// Shortest window that all entries' evidence is summed over. A pause of the
    /// upstream fills half a second with late answers of all entries at once, and
    /// less than half of a second.
    pub(crate) fn shortest(self) -> usize {
        match self {
            Self::Failing | Self::Silent => 0,
            Self::Slow => 1,
        }
    }

    pub(crate) fn reason(self) -> Reason {
        match self {
            Self::Failing => Reason::Failing,
            Self::Silent => Reason::Silent,
            Self::Slow => Reason::Slow,
        }
    }
}
