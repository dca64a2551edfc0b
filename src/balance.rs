//! Which upstream a request goes to: subset, slots, connections and score.
//!
//! **Load pattern.** Dozens of entries share upstreams with a handful of slots
//! and a few hundred connections each. One entry has a request in flight at any
//! one upstream only now and then, so that its own counts say little.
//!
//! **Without it.** Taking turns sends an old, slow upstream as much as a new one
//! and it queues without end; least-in-flight over all upstreams opens
//! connections from each entry to each upstream, and sends work to the one that
//! fails fastest.
//!
//! **Grounds.** Two candidates drawn in proportion to what each can do, the less
//! loaded one taken: within a fraction of a microsecond, without a herd. Figures
//! and the ways weighed stand in `docs/design/balance.md`.

mod completion;
mod health;
mod load;
mod member;
mod pick;
mod picker;
mod report;
mod request;
mod setup;
mod state;
mod subset;

pub use completion::Completion;
pub use health::Health;
pub use member::Member;
pub use pick::Pick;
pub use pick::Ticket;
pub use picker::Picker;
pub use report::Report;
pub use request::Request;
pub use setup::Setup;
pub use state::State;
