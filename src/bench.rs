//! Measurements that can be made again by one command, with small reports.

pub mod admission;
pub mod balance;
pub mod health;
pub mod retry;
pub mod rule;
pub mod spread;

/// One measurement: it runs to its end over that many seeds and gives its report.
pub type Bench = fn(u64) -> String;

/// Every measurement by name, with the seeds that its figures in the docs were made with.
pub const ALL: &[(&str, u64, Bench)] = &[
    ("admission", 20, admission::run),
    ("balance", 5, balance::run),
    ("health", 200, health::run),
    ("retry", 10, retry::run),
    ("rule", 1, |seed| rule::run(seed).unwrap_or_else(|error| error.to_string())),
    ("spread", 1, spread::run),
];
