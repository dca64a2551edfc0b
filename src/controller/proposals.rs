//! Claims, demands for quota, configurations and reads on their way into the log.

use crate::claim;
use crate::clock::Epoch;
use crate::clock::Moment;
use crate::config;
use crate::config::Patch;
use crate::config::Version;
use crate::id::NodeId;
use crate::quorum;
use crate::quota;
use crate::wire::Frame;
use crate::wire::Verdict;

use super::CLAIM_BATCHES_MAX;
use super::Controller;
use super::Output;
use super::Proposal;
use super::replies::verdict_output;
use super::snapshot::Body;

impl Controller {
    pub(super) fn read(
        &mut self,
        now: Moment,
        from: NodeId,
        ticket: u64,
        outputs: &mut Vec<Output>,
    ) {
        let ticket = self.track(Proposal::Read { from, ticket });
        self.step_replica(now, quorum::Input::Read { ticket }, outputs);
    }

    /// Proposes a configuration, as a patch to the one in force where that is smaller.
    pub(super) fn submit(
        &mut self,
        now: Moment,
        wall: Epoch,
        proposal: Proposal,
        outputs: &mut Vec<Output>,
    ) {
        let Proposal::Submit { from, ticket, version } = &proposal else { return };
        if !self.is_leader {
            let verdict = Verdict::NotLeader(self.leader());
            outputs.push(verdict_output(from, *ticket, verdict));
            return;
        }
        let command = match self.submissions.in_force() {
            Some(base) => smaller_command(Patch::between(base, version), version),
            None => config::Command::Submit(version.clone()),
        };
        self.propose(now, wall, proposal, Body::Config(command), outputs);
    }

    pub(super) fn queue_claims(
        &mut self,
        from: NodeId,
        actions: Vec<claim::Action>,
        outputs: &mut Vec<Output>,
    ) {
        if self.is_leader {
            self.claim_batcher.push(&from, actions);
            return;
        }
        let message = claim::Message::Redirect(self.leader());
        outputs.push(Output::Send(from, Box::new(Frame::Claim(message))));
    }

    pub(super) fn propose_claims(&mut self, now: Moment, wall: Epoch, outputs: &mut Vec<Output>) {
        while self.is_leader && self.claim_batches < CLAIM_BATCHES_MAX {
            let Some(command) = self.claim_batcher.take() else { return };
            self.claim_batches += 1;
            self.propose(now, wall, Proposal::Claims, Body::Claims(command), outputs);
        }
    }

    pub(super) fn queue_demand(
        &mut self,
        now: Moment,
        from: NodeId,
        ticket: u64,
        demand: quota::Demand,
        outputs: &mut Vec<Output>,
    ) {
        if self.is_leader {
            self.quota_coordinator.push(now, from, ticket, demand);
        } else {
            outputs.push(verdict_output(&from, ticket, Verdict::NotLeader(self.leader())));
        }
    }

    pub(super) fn propose_quotas(&mut self, now: Moment, wall: Epoch, outputs: &mut Vec<Output>) {
        if !self.is_leader {
            return;
        }
        let (pending, mut actions) = self.quota_coordinator.take(now, &self.quota_ledger);
        let mut requesters = Vec::with_capacity(pending.len());
        for (from, ticket, demand) in pending {
            requesters.push((from, ticket));
            actions.push(quota::Action::Ask(demand));
        }
        if !actions.is_empty() {
            self.propose(now, wall, Proposal::Quota(requesters), Body::Quota(actions), outputs);
        }
    }
}

fn smaller_command(patch: Patch, version: &Version) -> config::Command {
    let size = postcard::to_stdvec(&patch).map_or(usize::MAX, |bytes| bytes.len());
    if size < version.document.len() {
        return config::Command::Amend(patch);
    }
    config::Command::Submit(version.clone())
}
