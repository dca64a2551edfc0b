//! One request from caller to upstream and back, whole or visibly failed.
//!
//! The HTTP library returns `Ok` for bodies that were cut, reads a body that is
//! delimited by close as empty, and buffers past the end of a message. Both legs
//! therefore run through a [`Tap`], which stops reading at each message's end, and
//! an [`Exact`] reader, which turns a short body into an error.

mod answer;
mod error;
mod exact;
mod failure;
mod head;
mod inlet;
mod leg;
mod outlet;
mod payload;
mod pool;
mod refusal;
mod tap;

pub use answer::Answer;
pub use error::Error;
pub use exact::Exact;
pub use failure::Failure;
pub use head::BUDGET_HEADER;
pub use head::CALLER_HEADER;
pub use head::budget_of;
pub use head::check_request;
pub use head::clean_request;
pub use head::clean_response;
pub use inlet::Inlet;
pub use leg::Leg;
pub use leg::Limits;
pub use outlet::Outlet;
pub use payload::Payload;
pub use pool::Pool;
pub use refusal::OUTCOME_HEADER;
pub use refusal::Outcome;
pub use refusal::RETRY_AFTER_MS_HEADER;
pub use refusal::refuse;
pub use tap::Tap;
