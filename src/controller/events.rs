//! Events about upstreams: proposed to the log, and applied once they are committed.

use crate::catalog::Action;
use crate::catalog::Outcome;
use crate::clock::Epoch;
use crate::clock::Moment;
use crate::id::Index;
use crate::registry::State;
use crate::wire::Verdict;

use super::Controller;
use super::Output;
use super::Proposal;
use super::REPLIES_MAX;
use super::replies::verdict_output;
use super::snapshot::Body;

impl Controller {
    /// Proposes changes of the table of upstreams.
    pub(super) fn propose_catalog(
        &mut self,
        now: Moment,
        wall: Epoch,
        proposal: Proposal,
        actions: Vec<Action>,
        outputs: &mut Vec<Output>,
    ) {
        let Proposal::Catalog { from, ticket } = &proposal else { return };
        if !self.is_leader {
            outputs.push(verdict_output(from, *ticket, Verdict::NotLeader(self.leader())));
            return;
        }
        let (actions, outcomes): (Vec<Action>, Vec<Outcome>) =
            actions.into_iter().map(|action| self.detect_return(now, action)).unzip();
        let needs_commit =
            actions.iter().zip(&outcomes).any(|(action, outcome)| action.needs_commit(*outcome));
        if needs_commit {
            self.propose(now, wall, proposal, Body::Catalogs(actions), outputs);
        } else {
            outputs.push(verdict_output(from, *ticket, Verdict::Recorded(outcomes)));
        }
    }

    /// What the log will make of an action. An announcement that the table holds to be old becomes a
    /// return if its sender is alive.
    fn detect_return(&mut self, now: Moment, action: Action) -> (Action, Outcome) {
        let outcome = self.catalog.outcome(&action);
        match action {
            Action::Announce(change)
                if matches!(outcome, Outcome::Stale(_))
                    && change.announcement.state == State::Ready
                    && self.returns.hear(now, &change) =>
            {
                (Action::Return(change), Outcome::Changed)
            }
            action => (action, outcome),
        }
    }

    pub(super) fn apply_catalog(
        &mut self,
        index: Index,
        actions: Vec<Action>,
        outputs: &mut Vec<Output>,
    ) {
        let mut outcomes = Vec::with_capacity(actions.len());
        let mut changed = Vec::new();
        for action in actions {
            let outcome = self.catalog.apply(index, &action);
            outcomes.push(outcome);
            if outcome.is_changed() {
                changed.push(action);
            }
        }
        if self.is_leader {
            self.catalog_replies.insert(index, outcomes);
            self.catalog_replies.retain(|at, _| index - at < REPLIES_MAX);
        }
        if !changed.is_empty() {
            outputs.push(Output::UpstreamsChanged(changed));
        }
    }
}
