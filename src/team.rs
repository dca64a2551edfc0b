//! Teams, their API keys and their rate limits.
//!
//! A caller proves by a key to which team it belongs. Keys are stored and looked up as digests,
//! so that a memory dump reveals none and the time of a lookup does not depend on how much of
//! a guessed key is right. Each request costs one lookup, however many keys there are.

mod digest;
mod limit;
mod secret;
#[allow(clippy::module_inception)]
mod team;
mod teams;

pub use digest::Digest;
pub use limit::Limit;
pub use secret::Secret;
pub use team::Team;
pub use teams::Conflict;
pub use teams::Requester;
pub use teams::Teams;
