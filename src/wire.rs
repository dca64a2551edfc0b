//! Frames that the processes of a fleet exchange.

mod envelope;
mod error;
mod frame;

pub use envelope::Envelope;
pub use error::Error;
pub use frame::Frame;
pub use frame::Order;
pub use frame::Verdict;
