//! Reads of the configuration that wait for the log.

use crate::clock::Moment;
use crate::controller::Controller;
use crate::id::Index;
use crate::node::core::Output;

use super::Control;

/// A read that waits until this replica has applied the log up to `index`.
#[derive(Clone, Copy, Debug)]
pub(super) struct Read {
    pub(super) index: Index,
    pub(super) ticket: u64,
    pub(super) deadline: Moment,
}

impl Control {
    /// Answers the reads whose index is applied, and those that waited too long.
    pub(super) fn answer_reads(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if self.reads.is_empty() {
            return;
        }
        let applied = self.controller.as_ref().map(Controller::applied);
        for read in std::mem::take(&mut self.reads) {
            if applied.is_some_and(|applied| applied >= read.index) {
                outputs.push(Output::Configuration(read.ticket, Some(self.version().cloned())));
            } else if read.deadline <= now {
                outputs.push(Output::Configuration(read.ticket, None));
            } else {
                self.reads.push(read);
            }
        }
    }
}
