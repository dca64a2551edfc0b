//! What may be tried again, and the budget for it.
//!
//! A try is repeated only with proof that the one before did not run, or when
//! the request is idempotent, and only from a budget that grows with first
//! tries. The load pattern behind the budget is a failure domain that goes, or
//! a service that refuses because it is full: three tries for each request
//! then make up to three times the load, and the storm keeps down what it was
//! meant to help. With the budget tries are at most 1.1 times the requests.
//!
//! Hedges (a second copy of an idempotent lookup that is late) come from the
//! same budget and are suspended while they do not win.

mod answer;
mod attempt;
mod budget;
mod decide;
mod decision;
mod hedge;
mod latency;
mod limits;
mod max_attempts;
mod outcome;
mod participants;
mod policy;
mod simulation;
mod window;

pub use answer::Answer;
pub use attempt::Attempt;
pub use budget::Budget;
pub use decide::Decide;
pub use decision::Decision;
pub use hedge::Hedge;
pub use latency::Latency;
pub use limits::Limits;
pub use max_attempts::MaxAttempts;
pub use outcome::Outcome;
pub use participants::Participants;
pub use policy::Policy;
pub use simulation::Outage;
pub use simulation::Report;
pub use simulation::Simulation;
pub use window::Window;
