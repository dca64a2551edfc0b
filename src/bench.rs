//! Measurements that can be made again by one command, with small reports.

/// One measurement: it runs to its end and gives its report.
pub type Bench = fn() -> String;

/// Every measurement by name.
pub const ALL: &[(&str, Bench)] = &[];
