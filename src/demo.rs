//! The whole system in one process, with a gray failure in the middle.
//!
//! The same load runs twice: through hemlockfield, and through a baseline that takes
//! upstreams in turn. What callers received is printed side by side, with the time line.

mod baseline;
mod error;
mod ports;
mod run;
mod site;

pub use error::Error;
pub use ports::Ports;
pub use run::Outcome;
pub use run::run;
