use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Moment;
use crate::config::Version;
use crate::id::NodeId;
use crate::wire::Frame;
use crate::wire::Verdict;

/// Time without an answer after which a submission goes to the next control.
const RETRY: Duration = Duration::from_millis(500);
/// Pause before a submission is sent again where nobody leads.
const PAUSE: Duration = Duration::from_millis(100);
/// Longest that an operator's submission is carried around: an election takes two
/// seconds, and the operator may send again.
const PATIENCE: Duration = Duration::from_secs(10);

/// Carries operators' submissions to whichever control leads.
///
/// The same submission may reach the leader several times; its id makes that safe.
#[derive(Debug, Default)]
pub(super) struct Clerk {
    controls: Vec<NodeId>,
    leader: usize,
    pending: BTreeMap<u64, Pending>,
}

#[derive(Debug)]
struct Pending {
    due: Moment,
    until: Moment,
    version: Version,
}

/// What a clerk wants done.
#[derive(Debug)]
pub(super) enum Output {
    /// Answer to the operator with this ticket.
    Answer(u64, Verdict),
    /// Frame to a control.
    Send(NodeId, Box<Frame>),
}

impl Clerk {
    /// Takes the controls that may lead.
    pub(super) fn set_controls(&mut self, controls: Vec<NodeId>) {
        if self.controls != controls {
            self.controls = controls;
            self.leader = 0;
        }
    }

    /// Takes up a submission.
    pub(super) fn submit(&mut self, now: Moment, ticket: u64, version: Version) -> Vec<Output> {
        let pending = Pending { due: now, until: now + PATIENCE, version };
        self.pending.insert(ticket, pending);
        self.tick(now)
    }

    /// Takes a control's verdict.
    pub(super) fn verdict(&mut self, now: Moment, ticket: u64, verdict: Verdict) -> Vec<Output> {
        let Some(pending) = self.pending.get_mut(&ticket) else { return Vec::new() };
        match verdict {
            Verdict::NotLeader(Some(leader)) => {
                if let Some(at) = self.controls.iter().position(|control| *control == leader) {
                    self.leader = at;
                }
                pending.due = now + PAUSE;
            }
            Verdict::NotLeader(None) => {
                self.leader = (self.leader + 1) % self.controls.len().max(1);
                pending.due = now + PAUSE;
            }
            settled => {
                self.pending.remove(&ticket);
                return vec![Output::Answer(ticket, settled)];
            }
        }
        Vec::new()
    }

    /// Sends again what is due, and gives up what has waited too long.
    pub(super) fn tick(&mut self, now: Moment) -> Vec<Output> {
        let mut outputs = Vec::new();
        let late: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.until <= now)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in late {
            self.pending.remove(&ticket);
            outputs.push(Output::Answer(ticket, Verdict::Unconfirmed));
        }
        let mut sent = false;
        for (ticket, pending) in &mut self.pending {
            let Some(control) = self.controls.get(self.leader) else { return outputs };
            if pending.due > now {
                continue;
            }
            pending.due = now + RETRY;
            sent = true;
            let frame = Frame::Submit { ticket: *ticket, version: pending.version.clone() };
            outputs.push(Output::Send(control.clone(), Box::new(frame)));
        }
        if sent {
            self.leader = (self.leader + 1) % self.controls.len().max(1);
        }
        outputs
    }
}
