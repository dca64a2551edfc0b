//! Recorded inputs of decision modules, run again against stated outcomes.
//!
//! A [`Trace`] is JSON lines: what machine, its setup and seed, then its inputs with
//! their moments, and between them what callers need of it by then. The machines take
//! time and chance from outside, so the same lines give the same decisions. A running
//! entry writes such lines through a [`Recorder`]; people add the expectations.
//! `docs/design/replay.md` gives the format.

mod error;
mod expect;
mod finding;
mod input;
mod line;
mod machine;
mod machine_recorder;
mod micros;
mod output;
mod player;
mod policy;
mod recorder;
mod report;
mod run;
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
