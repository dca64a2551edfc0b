//! Replicated state: the configuration in force and the answers to earlier submissions.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Epoch;
use crate::id::SubmissionId;

use super::Command;
use super::Error;
use super::Head;
use super::Reply;
use super::Version;

/// Time for which the answer to an accepted submission is kept, so that an operator who
/// lost it can resend after an absence of two weeks.
const ANSWER_MAX_AGE: Duration = Duration::from_secs(14 * 24 * 3600);
/// Answers kept at most: 1,400 changes a day make 19,600 in 14 days, about 2 MB.
const ANSWER_MAX_COUNT: usize = 20_000;

/// Accepted submissions and the version in force; equal on every control VM that has
/// applied the same commands.
///
/// Operators submit equal numbers concurrently and resend when an answer is lost. If
/// answers were not kept, the resend of an accepted submission would be refused because
/// its own number is already in force, and the operator would submit the same change
/// again. Answers to refused submissions are not kept: numbers only grow, so such a
/// submission is refused again, and refusals can't evict answers to accepted ones.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Submissions {
    clock: Epoch,
    in_force: Option<Version>,
    kept: BTreeMap<SubmissionId, Head>,
    order: VecDeque<(Epoch, SubmissionId)>,
}

impl Submissions {
    /// Applies a committed command.
    ///
    /// `at` is the proposer's wall clock as recorded in the log. When it is earlier than
    /// that of a previous command, the latest time seen is used.
    pub fn apply(&mut self, at: Epoch, command: Command) -> Reply {
        self.clock = self.clock.max(at);
        self.evict_answers();
        if let Some(reply) = self.answer_to_resend(&command) {
            return reply;
        }
        if let Some(reply) = self.refusal(&command) {
            return reply;
        }
        let Some(version) = self.resolve(command) else { return Reply::Rebase };
        self.accept(version)
    }

    /// The version in force, or `None` if no submission has been accepted yet.
    pub fn in_force(&self) -> Option<&Version> {
        self.in_force.as_ref()
    }

    /// Number of answers kept for resent submissions.
    pub fn answer_count(&self) -> usize {
        self.kept.len()
    }

    /// Encodes the state for a snapshot.
    ///
    /// # Errors
    ///
    /// [`Error::Snapshot`] when encoding fails.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        postcard::to_stdvec(self).map_err(snapshot_error)
    }

    /// Decodes the state from a snapshot.
    ///
    /// # Errors
    ///
    /// [`Error::Snapshot`] when the bytes are not a valid snapshot.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        postcard::from_bytes(bytes).map_err(snapshot_error)
    }

    fn answer_to_resend(&self, command: &Command) -> Option<Reply> {
        let kept = self.kept.get(command.submission())?;
        let head = match command {
            Command::Amend(patch) => patch.head,
            Command::Submit(version) => version.head(),
        };
        Some(if head == *kept { Reply::Accepted(head) } else { Reply::Reused(*kept) })
    }

    fn refusal(&self, command: &Command) -> Option<Reply> {
        let current = self.in_force.as_ref()?;
        if command.number() > current.number {
            return None;
        }
        Some(Reply::Refused { number: current.number, submission: current.submission.clone() })
    }

    fn resolve(&self, command: Command) -> Option<Version> {
        match command {
            Command::Amend(patch) => patch.apply(self.in_force.as_ref()?).ok(),
            Command::Submit(version) => Some(version),
        }
    }

    fn accept(&mut self, version: Version) -> Reply {
        let head = version.head();
        self.kept.insert(version.submission.clone(), head);
        self.order.push_back((self.clock, version.submission.clone()));
        self.in_force = Some(version);
        Reply::Accepted(head)
    }

    /// Drops answers beyond the age or count limit, but never that to the version in force.
    fn evict_answers(&mut self) {
        while self.order.len() > 1 && self.is_oldest_evictable() {
            if let Some((_, submission)) = self.order.pop_front() {
                self.kept.remove(&submission);
            }
        }
    }

    fn is_oldest_evictable(&self) -> bool {
        let Some((at, _)) = self.order.front() else { return false };
        self.order.len() >= ANSWER_MAX_COUNT || self.clock.saturating_sub(*at) > ANSWER_MAX_AGE
    }
}

fn snapshot_error(error: postcard::Error) -> Error {
    Error::Snapshot { reason: error.to_string() }
}
