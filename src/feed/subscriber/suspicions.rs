//! What an entry knows of requests under which upstreams end, and what of it controls have still to hear.

use crate::clock::Moment;
use crate::poison::Evidence;
use crate::poison::Ledger;
use crate::poison::List;
use crate::poison::Report;

/// An entry's ledger, beside what it has told.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspicions {
    /// Whether the control doesn't know all quarantined requests that this entry knows.
    is_control_behind: bool,
    ledger: Ledger,
    /// Evidence in the poll in flight, which is sent again if that stays unanswered.
    sent: Evidence,
    /// What traffic threads were last told of suspected and quarantined requests.
    told: List,
}

impl Suspicions {
    /// Records evidence of any entry.
    pub(super) fn record(&mut self, now: Moment, evidence: &Evidence) {
        self.ledger.record(now, evidence);
    }

    /// Adds the quarantines that the polled control tells of.
    pub(super) fn merge(&mut self, now: Moment, report: &Report) {
        self.ledger.merge(now, report);
        self.is_control_behind = self.ledger.digest() != report.digest;
    }

    /// The quarantined requests for a poll, all of them if the control doesn't know them.
    pub(super) fn report(&self, now: Moment) -> Report {
        let known = (!self.is_control_behind).then(|| self.ledger.digest());
        self.ledger.report(now, known)
    }

    /// Notes the evidence that leaves with a poll.
    pub(super) fn note_sent(&mut self, evidence: &Evidence) {
        self.sent.clone_from(evidence);
    }

    /// Notes that a control that hears from a leader has the evidence of the last poll.
    pub(super) fn confirm_sent(&mut self) {
        self.sent = Evidence::default();
    }

    /// Takes the evidence that no such control has confirmed.
    pub(super) fn take_unconfirmed(&mut self) -> Evidence {
        std::mem::take(&mut self.sent)
    }

    /// What the traffic threads have to know, if it differs from what they were told.
    pub(super) fn changed_list(&mut self, now: Moment) -> Option<List> {
        self.ledger.advance(now);
        let list = self.ledger.list();
        if self.told == list {
            return None;
        }
        let (before, after) = (self.told.quarantined(), list.quarantined());
        if before != after {
            tracing::warn!(target: "hemlockfield::poison", before, after, "requests in quarantine");
        }
        self.told.clone_from(&list);
        Some(list)
    }
}
