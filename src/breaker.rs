//! Circuit breakers of upstreams, driven by what callers of all entries received.
//!
//! **Load pattern.** Dozens of entries each serve a few requests a second, so that one entry
//! sends a request to one upstream about once in two seconds. At any time up to a third of the
//! upstreams break off most of their answers for some seconds while their own health report is
//! good.
//!
//! **Without it.** An entry needs several requests of its own to detect a faulty upstream, and by
//! then the upstream has recovered. One request in six fails, and those that are not idempotent
//! can't be retried.
//!
//! **How.** Entries count the outcomes of their requests and share the counts through the
//! controls, a broken answer at once. One broken answer at any entry opens the breaker at all
//! entries for a moment. Then idempotent requests, which can be retried, serve as trials of the
//! upstream; where none comes, a request of any kind does within seconds of the last failure, the
//! sooner the more upstreams are out. The entries that callers are told of stand in a line for each upstream: the first
//! makes the trial, the next one if it has not begun soon. The floor bounds how many breakers take
//! their upstream out at once.
//!
//! Two conditions look like a faulty upstream and are not: an entry whose own network breaks its
//! answers ([`LocalFault`]), and an overloaded service, whose requests time out at every upstream
//! ([`Counts::hung`]).

mod cause;
mod circuit;
mod counts;
mod error_history;
mod group;
mod local_fault;
mod member;
mod outage_history;
mod window;

pub use cause::Cause;
pub use circuit::Circuit;
pub use circuit::State;
pub use counts::Counts;
pub use error_history::ErrorHistory;
pub use group::Group;
pub use group::Idle;
pub use group::Trial;
pub use local_fault::LocalFault;
pub use outage_history::OutageHistory;
pub use window::Window;
