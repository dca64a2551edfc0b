//! Which entries a caller should use, and for how long.
//!
//! Load pattern: no balancer stands before the entries; 2,000 callers ask any entry
//! which to use, keep the answer for half a minute and connect there. Were every
//! caller given the same list, its first entry would carry all; were the first drawn
//! by hash alone, the fullest of 44 entries would carry 1.4 times the mean.
//!
//! [`Directory`] decides an answer, [`Client`] is the caller's side of it.

mod answer;
mod client;
mod entry;
mod grants;
mod machine;
mod nearby;

pub use answer::Answer;
pub use client::Client;
pub use entry::Entry;
pub use machine::Directory;
pub use nearby::nearby;
