//! Ordered routing rules with conditions and actions; the first rule that matches decides.
//!
//! Operators submit one YAML document with services, classes, teams and rules.
//! [`Rules::parse`] validates it as a whole; [`Rules::decide`] finds the first rule that
//! matches a request. A linear scan over 4,200 rules would cost every request tens of
//! microseconds. An [`Index`] by host, path and team reduces that to a few candidates with
//! the same result as the scan.

mod action;
mod class;
mod condition;
mod criterion;
mod error;
mod explanation;
mod headers;
mod index;
mod limits;
mod not_run_signal;
mod pattern;
mod probe;
mod request;
#[allow(clippy::module_inception)]
mod rule;
mod rules;
mod service;
mod split;
mod state;
mod teams;
mod terms;

pub use action::Action;
pub use class::Class;
pub use condition::Condition;
pub use criterion::Criterion;
pub use error::Error;
pub use explanation::Explanation;
pub use explanation::Skipped;
pub use headers::Headers;
pub use index::Index;
pub use limits::Limits;
pub use not_run_signal::NotRunSignal;
pub use pattern::Host;
pub use pattern::Path;
pub use probe::Probe;
pub use request::Request;
pub use rule::Rule;
pub use rules::Rules;
pub use service::Service;
pub use split::Portion;
pub use split::Split;
pub use state::AllHealthy;
pub use state::ServiceState;
pub use state::StateSource;
pub use terms::DEFAULT_ATTEMPTS;
pub use terms::Terms;
