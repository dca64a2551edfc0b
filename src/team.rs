//! Who asks: teams, their API keys, and how much each may ask.
//!
//! A caller proves its team by a key. Keys are kept as digests, and looked up by digest: a
//! process that is read out gives none away, and the time of a lookup tells nothing of how much
//! of a guessed key is right. One lookup a request, however many keys there are.

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
