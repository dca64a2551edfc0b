//! What a caller's request says about itself.

use std::time::Duration;

use crate::id::CallerId;
use crate::id::RequestId;
use crate::team::Secret;

/// What a caller's request says about itself, beside host, method and path.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Metadata {
    /// How long the caller is prepared to wait, where it says so.
    pub budget: Option<Duration>,
    /// Who asks.
    pub caller: CallerId,
    /// The caller's own name for the request, where it has one.
    pub id: Option<RequestId>,
    /// The API key that came with it.
    pub key: Option<Secret>,
}
