//! Small fakes at the interfaces, for tests and experiments in virtual time.

mod disk;
mod net;

pub use disk::Disk;
pub use net::Conditions;
pub use net::Delivery;
pub use net::Net;
