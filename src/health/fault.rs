use crate::health::Kind;
use crate::health::Reason;

/// A way in which an upstream can be gray.
///
/// Each is tested on its own: otherwise the low latencies of an upstream that
/// returns errors quickly would offset the errors.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    /// Incomplete or error answers, which only the upstream itself can cause.
    Failing,
    /// No answer or no connection, caused by the upstream or by the network path.
    Silent,
    /// Complete answers that are late.
    Slow,
}

impl Fault {
    pub(crate) const ALL: [Self; 3] = [Self::Failing, Self::Silent, Self::Slow];

    /// The fault that an outcome is evidence of, if any.
    pub(crate) fn of(kind: Kind) -> Option<Self> {
        match kind {
            Kind::ConnectFailed | Kind::Silent => Some(Self::Silent),
            Kind::Cut | Kind::ServerError | Kind::Timeout => Some(Self::Failing),
            Kind::Refused | Kind::Success => None,
        }
    }

    /// Index of the shortest window over which the evidence of all entries is
    /// summed. A pause of the upstream fills a half-second window with late
    /// answers of all entries at once, but less than half of a one-second window.
    pub(crate) fn shortest_window(self) -> usize {
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
