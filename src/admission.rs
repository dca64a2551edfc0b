//! Admission control: decides which requests run, wait or are refused.
//!
//! Each entry has one [`Gate`] per service. The load patterns it handles, what happens without it,
//! and how it responds:
//!
//! | pattern | without the gate | response |
//! |---|---|---|
//! | burst | everyone waits, and the last requests run only to miss their deadline | requests that can meet their deadline wait, the others are refused on arrival |
//! | hot caller or key | its requests fill the queue and the slots, and the others starve | callers take turns within a class; one key gets at most half of the slots |
//! | slow upstream | requests queue up behind it until each deadline | a request that can't finish in time is not started; one probe runs at a time |
//! | long jobs among short ones | uploads take every slot, lookups wait for minutes | long jobs get at most half of the slots |
//! | overload | the queue grows as long as the deadline allows and all work is wasted | a standing queue is cut to one service time, the rest is refused |
//!
//! A request is only refused before any of it ran. The refusal says so and carries a jittered retry
//! delay, so that refused callers don't return together.

mod class_queue;
mod duration_class;
mod estimate;
mod fifo;
mod gate;
mod input;
mod key_counts;
mod limit;
mod outcome;
mod output;
mod overload_detector;
mod pattern;
mod queue;
mod reason;
mod service_time;
mod simulation;
mod startup;
mod waiter;

pub use fifo::Fifo;
pub use gate::Gate;
pub use input::Arrival;
pub use input::Input;
pub use limit::Limit;
pub use outcome::Outcome;
pub use output::Output;
pub use pattern::Pattern;
pub use queue::Queue;
pub use reason::Reason;
pub use simulation::Disposition;
pub use simulation::Job;
pub use simulation::Simulation;
pub use startup::Startup;
