//! Limits on the requests of a team, enforced over all entries together.
//!
//! **Load pattern.** A team may send a number of requests in any window of a few seconds, over
//! all entries together. It sends a few to each of dozens of entries, in another mix each second.
//! A team suddenly sends many times its usual load. Processes are killed, partitioned and
//! restarted.
//!
//! **Without it.** If each entry counts on its own, the fleet allows the limit once per entry. If
//! the limit is split evenly, most requests of a small team are refused, as each meets the small
//! allocation of another entry. Counters that entries exchange are too old when a team begins to
//! send five times its limit, and those of a partitioned entry never arrive.
//!
//! **How.** Entries hold allocations of each allowance. A [`Limiter`] at an entry counts the requests
//! that passed within the window, and passes none beyond its allocation. The replicated [`Ledger`]
//! moves allocations: an entry stops using what it gives back before it reports that, and gets
//! more only after the change is committed. So at any moment the allocations, and with them the
//! requests that passed within the last window, add up to the allowance at most, whatever is
//! lost, partitioned or elected meanwhile. Without a control leader an entry keeps its
//! allocations. The allocations of an entry that restarted count until the window is over, as
//! nobody knows how many requests it had passed.

mod action;
mod config;
mod coordinator;
mod demand;
mod grant;
mod holding;
mod ledger;
mod limiter;
mod share;
mod subject;
mod window;

pub use action::Action;
pub use config::Config;
pub use coordinator::Coordinator;
pub use demand::Demand;
pub use demand::Item;
pub use grant::Allocation;
pub use grant::Grant;
pub use ledger::Ledger;
pub use limiter::Decision;
pub use limiter::Limiter;
pub use share::Share;
pub use subject::Subject;
pub use window::Window;
