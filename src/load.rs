//! Open-loop load generator that avoids coordinated omission.
//!
//! Requests start at scheduled times, whether or not earlier ones have ended, and latencies count
//! from those times. Each answer is compared byte for byte with the expected one, and the runs at
//! the upstreams are reconciled with the outcomes that callers saw.

mod caller;
mod error;
mod kind;
mod plan;
mod report;
mod run;
mod sample;

pub use error::Error;
pub use kind::Kind;
pub use plan::Plan;
pub use report::Report;
pub use run::run;
pub use sample::Outcome;
pub use sample::Sample;
