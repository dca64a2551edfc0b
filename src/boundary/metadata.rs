//! Metadata of a caller's request.

use std::time::Duration;

use crate::id::CallerId;
use crate::id::RequestId;
use crate::team::Secret;

/// What a caller's request states about itself, apart from host, method and path.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Metadata {
    /// How long the caller waits for the answer, if it says so.
    pub budget: Option<Duration>,
    /// Caller that sent the request, by its name or address.
    pub caller: CallerId,
    /// Id that the caller gave to the request, if any.
    pub id: Option<RequestId>,
    /// API key sent with the request.
    pub key: Option<Secret>,
}
