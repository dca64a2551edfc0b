//! Which upstream of a service a request goes to.
//!
//! A [`Service`] is what the control state knows of a service's upstreams, as an immutable snapshot.
//! A [`Selector`] chooses among them for each request: trials of upstreams that are out first, then
//! by load and cost ([`crate::balance`]).

mod selector;
mod service;

pub use selector::Selector;
pub use service::Limit;
pub use service::Service;
