//! Decides which failed attempts are retried, within a budget.
//!
//! An attempt is retried only if it provably did not run or the request is idempotent, and only
//! from a budget that grows with first attempts. Without the budget, the loss of a failure domain,
//! or a service that refuses because it is full, causes a retry storm: three attempts per request
//! make up to three times the load and keep the service from recovering. With the budget there are
//! at most 1.1 attempts per request.
//!
//! A retry counts when it reaches an upstream. [`Copies`] tells which payments of a request must stay
//! open because a copy that was given up may still arrive.
//!
//! Hedges (a second copy of an idempotent lookup that is late) are paid from the same budget and
//! are suspended while they rarely win.

mod answer;
mod attempt;
mod budget;
mod copies;
mod decide;
mod decision;
mod hedge;
mod latency;
mod limits;
mod max_attempts;
mod outcome;
mod participants;
pub mod payment;
mod policy;
mod simulation;
mod standstill;
mod usage;
mod window;

pub use answer::Answer;
pub use attempt::Attempt;
pub use budget::Budget;
pub use copies::Copies;
pub use decide::Decide;
pub use decision::Decision;
pub use hedge::Hedge;
pub use latency::Latency;
pub use limits::Limits;
pub use max_attempts::MaxAttempts;
pub use outcome::Outcome;
pub use participants::Listing;
pub use participants::Participants;
pub use policy::Policy;
pub use simulation::Outage;
pub use simulation::Report;
pub use simulation::Simulation;
pub use standstill::Standstill;
pub use usage::Usage;
pub use window::Window;
