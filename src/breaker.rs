//! Circuit breakers of upstreams, on what callers of all entries received.
//!
//! **Load pattern.** Dozens of entries each see a few requests a second, so that each alone
//! meets one upstream about once in two seconds; at any time up to a third of the upstreams
//! break off most of their answers for some seconds while their own report is good.
//!
//! **Without it.** An entry needs several requests of its own to convict an upstream, by
//! which time the upstream is well again: one request in six is lost, and those that may run
//! only once are lost for good.
//!
//! **How.** Entries count what they received and tell it through the controls, a broken
//! answer at once. One broken answer anywhere opens the breaker for a moment everywhere; then
//! idempotent requests, which can be sent again, try whether the upstream is well; where a
//! service has none, single requests of any kind do after some seconds. The floor bounds how
//! many breakers are open.
//!
//! Two things look like an upstream's fault and are none: an entry whose own network breaks
//! its answers ([`LocalFault`]), and a service that has more work than it can do, whose requests
//! run out of time at every upstream ([`Counts::hung`]).

mod cause;
mod circuit;
mod counts;
mod error_history;
mod group;
mod local_fault;
mod losses;
mod outage_history;
mod window;

pub use cause::Cause;
pub use circuit::Circuit;
pub use circuit::State;
pub use counts::Counts;
pub use error_history::ErrorHistory;
pub use group::Group;
pub use group::Trial;
pub use local_fault::LocalFault;
pub use losses::Losses;
pub use outage_history::OutageHistory;
pub use window::Window;
