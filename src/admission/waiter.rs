use super::Arrival;
use crate::clock::Moment;

/// A running request. `queue` is the index of its class queue.
#[derive(Clone, Debug)]
pub(super) struct Running {
    pub(super) arrival: Arrival,
    pub(super) queue: usize,
    pub(super) start: Moment,
}

/// A waiting request. `queue` is the index of its class queue, `until` the end of its wait.
#[derive(Clone, Debug)]
pub(super) struct Waiter {
    pub(super) arrival: Arrival,
    pub(super) arrived: Moment,
    pub(super) queue: usize,
    pub(super) until: Moment,
}
