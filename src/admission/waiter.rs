use super::Arrival;
use crate::clock::Moment;

/// A request that runs.
#[derive(Clone, Debug)]
pub(super) struct Running {
    pub(super) arrival: Arrival,
    pub(super) line: usize,
    pub(super) since: Moment,
}

/// A request that waits.
#[derive(Clone, Debug)]
pub(super) struct Waiter {
    pub(super) arrival: Arrival,
    pub(super) arrived: Moment,
    pub(super) line: usize,
    pub(super) until: Moment,
}
