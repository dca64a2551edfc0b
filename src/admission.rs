//! Who is served, who waits and who is refused when the fleet is full.
//!
//! A [`Gate`] stands before each service in an entry. Load patterns, what
//! happens without the gate, and its answer:
//!
//! | pattern | without | answer |
//! |---|---|---|
//! | burst | everyone waits, and the last run only to miss their deadline | those that fit their deadline wait, the others are refused on arrival |
//! | hot caller or key | its requests fill queue and slots, the others starve | turns by caller inside a class; a key gets half of the slots |
//! | slow upstream | requests queue up behind it until each deadline | what can't end in time is not started; one trial at a time |
//! | long jobs among short | uploads take every slot, lookups wait for minutes | long jobs get half of the slots |
//! | overload | a queue as long as the deadline; all work is wasted | a queue that stands is cut to one service time, the rest is refused |
//!
//! A refusal always comes before anything ran, tells so, and says when to come
//! back, with jitter so that refused callers don't return together.

mod estimate;
mod fifo;
mod gate;
mod input;
mod keys;
mod kind;
mod limit;
mod line;
mod outcome;
mod output;
mod pace;
mod pattern;
mod queue;
mod reason;
mod simulation;
mod standing;
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
