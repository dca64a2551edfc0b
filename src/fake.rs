//! Small fakes at the interfaces, for tests and experiments in virtual time.

mod net;

pub use net::Delivery;
pub use net::Net;
pub use net::Weather;
