//! Fakes of the disk and the network, for tests and simulations in virtual time.

mod disk;
mod net;

pub use disk::Disk;
pub use net::Conditions;
pub use net::Delivery;
pub use net::Net;
