//! Replays recorded inputs of the deterministic state machines (admission gate, health
//! monitor, retry policy) and checks expectations on their outputs.
//!
//! A [`Trace`] consists of JSON lines: each machine with its setup and seed, then its inputs
//! with their times, and between them the expectations that must hold by then. The machines
//! get time and random seeds as inputs, so the same lines give the same outputs. A running
//! entry writes traces through a [`Recorder`]; expectations are added by hand.
//! `docs/design/replay.md` describes the format.

mod error;
mod expect;
mod finding;
mod input;
mod instance;
mod line;
mod machine;
mod machine_recorder;
mod micros;
mod output;
mod policy;
mod recorder;
mod report;
mod runner;
mod trace;

pub use error::Error;
pub use expect::Expect;
pub use finding::Finding;
pub use input::Input;
pub use input::Retry;
pub use line::Line;
pub use machine::Machine;
pub use machine_recorder::MachineRecorder;
pub use micros::Micros;
pub use output::Output;
pub use output::TimedOutput;
pub use policy::Policy;
pub use recorder::Recorder;
pub use report::Report;
pub use trace::Trace;
