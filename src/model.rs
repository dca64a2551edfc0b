//! Model of upstreams and callers in virtual time, for experiments on decisions.
//!
//! Open-loop callers send lookups through a number of entries to upstreams with
//! slots, a short queue and documented refusals, some of which fail grayly. It
//! serves `hemlockfield bench` and the tests of [`crate::balance`] and
//! [`crate::health`]; it knows nothing of our processes or protocols.

mod agent;
mod answer;
mod event;
mod fault;
mod outcome;
mod plan;
mod request;
mod upstream;
mod world;

pub use agent::Agent;
pub use agent::Choice;
pub use answer::Answer;
pub use fault::Fault;
pub use fault::Gray;
pub use outcome::Outcome;
pub use plan::Plan;
pub use upstream::Upstream;
pub use world::World;
