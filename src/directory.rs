//! Discovery of the entries that a caller should use.
//!
//! Load: there is no load balancer in front of the entries. 2,000 callers ask any entry for a list,
//! keep it for half a minute and connect to its first entry. With the same list for all callers,
//! that entry would carry the whole load. If a hash alone chose the first entry, the busiest of 44
//! entries would carry 1.4 times the mean.
//!
//! [`Directory`] creates the answers, and [`Client`] is the caller's side.

mod answer;
mod assignments;
mod client;
mod entry;
mod machine;
mod nearby;

pub use answer::Answer;
pub use client::Client;
pub use entry::Entry;
pub use machine::Directory;
pub use nearby::nearby;
