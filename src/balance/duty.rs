//! Duty of an entry to send an upstream a request in time.

use std::time::Duration;

/// Longest time between two requests of the first entry to an upstream. Operators want sound upstreams to
/// get a request in any 2 s; the rest is for the wait until this entry has one to send.
const FIRST_INTERVAL: Duration = Duration::from_millis(1300);
/// The same of the next entries.
const SECOND_INTERVAL: Duration = Duration::from_millis(1600);

/// Duty of an entry to send an upstream a request in time.
///
/// Each entry counts its own requests alone. What others sent becomes known too late: an
/// answer takes its time, and telling of it up to 1.5 s.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Duty {
    /// Of the first entry in the order.
    First,
    /// Of the next ones, while few requests of an upstream are known. The first one may be killed, or
    /// have lost the path.
    Second,
}

impl Duty {
    /// Longest time between two requests of this entry to the upstream.
    pub fn interval(self) -> Duration {
        match self {
            Self::First => FIRST_INTERVAL,
            Self::Second => SECOND_INTERVAL,
        }
    }
}
