use std::fmt;

/// Criterion of a condition; the names in explanations are those of the document's fields.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Criterion {
    /// Name of the caller.
    Caller,
    /// Presence or value of a header.
    Header,
    /// Host.
    Host,
    /// Method.
    Method,
    /// Path.
    Path,
    /// State of a service.
    ServiceState,
    /// Team of the caller.
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
