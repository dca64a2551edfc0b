//! Stand-in for an upstream, gray on demand.
//!
//! It announces itself, drains, starts cold, sheds load with a documented refusal that
//! says the request was not run, honours deadlines and cancellation, and counts what it
//! ran for each idempotency key, so that a doubled run is seen where it happens.

mod announcer;
mod answer;
mod error;
mod gray;
mod setup;
mod stand;
mod work;

pub use answer::IDENTITY_HEADER;
pub use answer::SIZE_HEADER;
pub use answer::body_for;
pub use error::Error;
pub use gray::Gray;
pub use setup::Setup;
pub use stand::Stand;

/// On a refusal: documents that the request was not run.
pub const NOT_RUN_HEADER: &str = "x-not-run";
/// On any answer: says that the upstream is leaving.
pub const DRAINING_HEADER: &str = "x-draining";
/// Caller's key of a non-idempotent request.
pub const KEY_HEADER: &str = "idempotency-key";
/// Load reported on answers: requests in work or waiting, per slot.
pub const LOAD_HEADER: &str = "x-load";
