//! Test upstream with failures that can be switched on and off.
//!
//! It announces itself, drains, starts cold, honours deadlines and cancellation, and sheds
//! load with a header that says the request was not run. It counts the runs of each
//! idempotency key, so that duplicate runs are detected at the upstream.

mod announcer;
mod answer;
mod error;
mod failure_mode;
mod limiter;
mod server;
mod setup;

pub use answer::IDENTITY_HEADER;
pub use answer::SIZE_HEADER;
pub use answer::body_for;
pub use error::Error;
pub use failure_mode::FailureMode;
pub use server::Server;
pub use setup::Setup;

/// Header of a refusal that states that the request was not run.
pub const NOT_RUN_HEADER: &str = "x-not-run";
/// Header of any answer that states that the upstream is draining.
pub const DRAINING_HEADER: &str = "x-draining";
/// Request header with the caller's idempotency key for a non-idempotent request.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header of an answer with the upstream's load: running and queued requests per slot.
pub const LOAD_HEADER: &str = "x-load";
