//! Log records that wait to be synced.

use crate::quorum::Record;

/// Log records of a batch of inputs, which are synced together.
#[derive(Default)]
pub(super) struct Batch {
    pub(super) number: Option<u64>,
    pub(super) records: Vec<Record>,
}

impl Batch {
    /// Adds records up to this number.
    pub(super) fn persist(&mut self, number: u64, records: Vec<Record>) {
        self.number = Some(number);
        self.records.extend(records);
    }
}
