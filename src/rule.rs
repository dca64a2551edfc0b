//! Ordered rules: conditions, actions and the first match.
//!
//! Operators submit one YAML document with services, classes, teams and rules.
//! [`Rules::parse`] checks it whole; [`Rules::decide`] finds the first rule
//! that holds for a request. A plain scan over 4,200 rules would cost every
//! request tens of microseconds, so an [`Index`] by host, path and team leaves
//! a handful of candidates, and gives exactly what the scan gives.

mod action;
mod class;
mod condition;
mod criterion;
mod error;
mod explanation;
mod headers;
mod index;
mod limits;
mod pattern;
mod probe;
mod refusal;
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
pub use pattern::Host;
pub use pattern::Path;
pub use probe::Probe;
pub use refusal::Refusal;
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
