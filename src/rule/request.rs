use super::Headers;
use crate::id::TeamId;

/// Properties of a request that conditions are matched against.
#[derive(Clone, Copy)]
pub struct Request<'a> {
    /// Name of the caller; empty if unknown.
    pub caller: &'a str,
    /// Headers.
    pub headers: &'a dyn Headers,
    /// Host in lower case without port.
    pub host: &'a str,
    /// Method in upper case.
    pub method: &'a str,
    /// Path without query. It must contain no `.` or `..` segment and no escaped slash:
    /// an upstream may interpret such a path as a different one from the path that the
    /// rule matched. The exchange refuses escaped slashes before rules are applied.
    pub path: &'a str,
    /// Team that the API key belongs to, if the request has a valid one.
    pub team: Option<&'a TeamId>,
}
