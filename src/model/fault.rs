use std::time::Duration;

use crate::clock::Moment;

/// A way to fail in part. Rates are shares of the requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Gray {
    /// Answers end before their declared end.
    Cut(f64),
    /// Answers with a server error, as fast as usual.
    Errors(f64),
    /// Errors half of the time, for this long each.
    Flapping(Duration),
    /// Connections are refused.
    NoConnection,
    /// Answers don't reach the first so many entries.
    OneWay(usize),
    /// Requests are taken and never answered, in this share.
    Silent(f64),
    /// Work takes so many times longer.
    Slow(f64),
}

/// One upstream failing for a while.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// When it starts.
    pub from: Moment,
    /// How it fails.
    pub gray: Gray,
    /// When it ends.
    pub until: Moment,
    /// Position of the upstream.
    pub upstream: usize,
}

impl Fault {
    /// Whether it is in force.
    #[must_use]
    pub fn is_on(&self, now: Moment) -> bool {
        let is_within = self.from <= now && now < self.until;
        match self.gray {
            Gray::Flapping(length) if is_within => {
                let halves = (now - self.from).as_millis() / length.as_millis().max(1);
                halves.is_multiple_of(2)
            }
            _ => is_within,
        }
    }
}
