//! Chooses the upstream of a request: subset, slots, connections and cost.
//!
//! **Load pattern.** Dozens of entries share upstreams with a handful of slots and a few hundred
//! connections each. One entry rarely has a request in flight at any given upstream, so that its
//! own counts say little.
//!
//! **Without it.** Round robin sends an old, slow upstream as much as a new one, and its queue
//! grows without end. Least-in-flight over all upstreams opens connections from each entry to
//! each upstream, and prefers the upstream that fails fastest.
//!
//! **How.** Two candidates are drawn in proportion to their capacity and the cheaper one is
//! taken. This costs a fraction of a microsecond and does not make all entries pick the same
//! upstream. `docs/design/balance.md` has the figures and the alternatives considered.

mod backpressure;
mod completion;
mod coverage;
mod duties;
mod duty;
mod health;
mod hold;
mod limit;
mod load;
mod member;
mod owner;
mod pick;
mod pick_rate;
mod picker;
mod rank;
mod report;
mod request;
mod setup;
mod state;
mod subset;
mod throttle;
mod working_set;

pub use backpressure::Backpressure;
pub use completion::Completion;
pub use coverage::Coverage;
pub use duty::Duty;
pub use health::Health;
pub use limit::Limit;
pub use member::Member;
pub use owner::owner;
pub use pick::Pick;
pub use pick::Ticket;
pub use picker::Picker;
pub use rank::Rank;
pub use report::Report;
pub use request::Request;
pub use setup::Setup;
pub use state::State;
pub(crate) use subset::rank;
