//! Answers to whoever forwarded a proposal or a read.

use crate::config;
use crate::id::Index;
use crate::id::NodeId;
use crate::quorum;
use crate::quota;
use crate::wire::Frame;
use crate::wire::Verdict;

use super::Controller;
use super::Output;
use super::Proposal;

impl Controller {
    pub(super) fn handle_accepted(&mut self, ticket: u64, index: Index, outputs: &mut Vec<Output>) {
        let verdict = self.config_replies.remove(&index);
        match self.proposals.remove(&ticket) {
            Some(Proposal::Catalog { from, ticket }) => {
                let outcomes = self.catalog_replies.remove(&index).unwrap_or_default();
                outputs.push(verdict_output(&from, ticket, Verdict::Recorded(outcomes)));
            }
            Some(Proposal::Change(ticket)) => outputs.push(Output::Changed(ticket, Ok(index))),
            Some(Proposal::Claims) => self.claim_batches = self.claim_batches.saturating_sub(1),
            Some(Proposal::Submit { from, ticket, .. }) => {
                let verdict = verdict.unwrap_or(Verdict::Unconfirmed);
                outputs.push(verdict_output(&from, ticket, verdict));
            }
            Some(Proposal::Quota(requesters)) => {
                let grants = self.quota_replies.remove(&index).unwrap_or_default();
                outputs.extend(grant_outputs(requesters, grants));
            }
            Some(Proposal::LeadershipCheck | Proposal::Read { .. }) | None => (),
        }
    }

    pub(super) fn handle_refused(
        &mut self,
        ticket: u64,
        reason: quorum::Reason,
        leader: Option<NodeId>,
        outputs: &mut Vec<Output>,
    ) {
        match self.proposals.remove(&ticket) {
            Some(Proposal::Change(ticket)) => {
                let text = match leader {
                    Some(leader) => format!("{reason:?}; `{leader}` leads"),
                    None => format!("{reason:?}"),
                };
                outputs.push(Output::Changed(ticket, Err(text)));
            }
            Some(Proposal::Claims) => self.claim_batches = self.claim_batches.saturating_sub(1),
            Some(Proposal::LeadershipCheck) => outputs.push(Output::Leadership(false)),
            Some(Proposal::Quota(requesters)) => {
                let verdict = |(to, ticket): &(NodeId, u64)| {
                    verdict_output(to, *ticket, Verdict::NotLeader(leader.clone()))
                };
                outputs.extend(requesters.iter().map(verdict));
            }
            Some(
                Proposal::Catalog { from, ticket }
                | Proposal::Read { from, ticket }
                | Proposal::Submit { from, ticket, .. },
            ) => outputs.push(verdict_output(&from, ticket, Verdict::NotLeader(leader))),
            None => (),
        }
    }

    /// Handles a proposal that may or may not be committed. The process that forwarded it sends it
    /// again, which is safe since submissions and announcements are idempotent.
    pub(super) fn handle_uncertain(&mut self, ticket: u64, outputs: &mut Vec<Output>) {
        match self.proposals.remove(&ticket) {
            Some(
                Proposal::Catalog { from, ticket }
                | Proposal::Read { from, ticket }
                | Proposal::Submit { from, ticket, .. },
            ) => {
                let verdict = Verdict::NotLeader(self.leader());
                outputs.push(verdict_output(&from, ticket, verdict));
            }
            Some(Proposal::Change(ticket)) => {
                let text = "leadership was lost; look at the status and ask again".to_owned();
                outputs.push(Output::Changed(ticket, Err(text)));
            }
            Some(Proposal::Claims) => self.claim_batches = self.claim_batches.saturating_sub(1),
            // Entries repeat their demands, and a demand already in the log is answered again.
            Some(Proposal::LeadershipCheck | Proposal::Quota(_)) | None => (),
        }
    }
}

pub(super) fn verdict_for(reply: config::Reply, before: Option<u64>) -> Verdict {
    match reply {
        config::Reply::Accepted(head) if Some(head.number) <= before => {
            Verdict::AlreadyAccepted(head.number)
        }
        config::Reply::Accepted(head) => Verdict::Accepted(head.number),
        config::Reply::Rebase => Verdict::NotLeader(None),
        config::Reply::Refused { number, submission } => Verdict::Refused { number, submission },
        config::Reply::Reused(head) => Verdict::Reused(head.number),
    }
}

/// Answers the demands of a log entry. The entry may contain other actions; the demands are its
/// last ones.
fn grant_outputs(requesters: Vec<(NodeId, u64)>, grants: Vec<Option<quota::Grant>>) -> Vec<Output> {
    let first = grants.len().saturating_sub(requesters.len());
    let answers = requesters.into_iter().zip(grants.into_iter().skip(first));
    let answer = |((to, ticket), grant): ((NodeId, u64), Option<quota::Grant>)| {
        Some(verdict_output(&to, ticket, Verdict::Granted(grant?)))
    };
    answers.filter_map(answer).collect()
}

pub(super) fn verdict_output(to: &NodeId, ticket: u64, verdict: Verdict) -> Output {
    Output::Send(to.clone(), Box::new(Frame::Verdict { ticket, verdict }))
}
