use std::fmt;

/// One criterion of a condition, as an explanation names it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Criterion {
    /// Who sent the request.
    Caller,
    /// A header's presence or value.
    Header,
    /// The host.
    Host,
    /// The method.
    Method,
    /// The path.
    Path,
    /// The state of a service.
    ServiceState,
    /// The team of the caller.
    Team,
}

impl fmt::Display for Criterion {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
            Self::Caller => "caller",
            Self::Header => "header",
            Self::Host => "host",
            Self::Method => "method",
            Self::Path => "path",
            Self::ServiceState => "service_state",
            Self::Team => "team",
        })
    }
}
