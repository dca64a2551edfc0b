//! Open-loop load generator with figures free of coordinated omission.
//!
//! Requests start at times drawn beforehand, whether or not earlier ones have ended, and
//! latencies count from those times. Each answer is compared, byte for byte, with what
//! its own request must get; what ran is reconciled with what callers were told.

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
pub use sample::Sample;
pub use sample::Told;
