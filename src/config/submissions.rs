//! Replicated state: the configuration in force and the answers kept for resends.

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

/// How long the answer to an accepted submission is kept: an operator who lost it
/// may resend after two weeks of absence.
const KEPT_AGE: Duration = Duration::from_secs(14 * 24 * 3600);
/// How many answers are kept: 14 days of 1,400 changes are 19,600, about 2 MB.
const KEPT_COUNT: usize = 20_000;

/// What operators had accepted; the same on every control VM after the same
/// commands.
///
/// Operators race with equal numbers and resend after lost answers. Without the
/// kept answers, the resend of an accepted submission would be refused by its own
/// number, and the operator would submit the same change once more. Only accepted
/// submissions are kept: a refused one stays refused since numbers only grow, so
/// refusals can't push out what was accepted.
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
    /// `at` is the proposer's wall clock as written into the log; a clock that
    /// jumps back is held at the latest time seen.
    pub fn apply(&mut self, at: Epoch, command: Command) -> Reply {
        self.clock = self.clock.max(at);
        self.forget();
        if let Some(reply) = self.answered(&command) {
            return reply;
        }
        if let Some(reply) = self.refused(&command) {
            return reply;
        }
        let Some(version) = self.version(command) else { return Reply::Rebase };
        self.accept(version)
    }

    /// The version in force, if any was ever accepted.
    pub fn in_force(&self) -> Option<&Version> {
        self.in_force.as_ref()
    }

    /// Number of answers kept for resends.
    pub fn kept(&self) -> usize {
        self.kept.len()
    }

    /// Encoded form for a snapshot.
    ///
    /// # Errors
    ///
    /// [`Error::Snapshot`] when the codec refuses.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        postcard::to_stdvec(self).map_err(snapshot_error)
    }

    /// State from a snapshot.
    ///
    /// # Errors
    ///
    /// [`Error::Snapshot`] for bytes that are no snapshot.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        postcard::from_bytes(bytes).map_err(snapshot_error)
    }

    fn answered(&self, command: &Command) -> Option<Reply> {
        let kept = self.kept.get(command.submission())?;
        let head = match command {
            Command::Amend(patch) => patch.head,
            Command::Submit(version) => version.head(),
        };
        Some(if head == *kept { Reply::Accepted(head) } else { Reply::Reused(*kept) })
    }

    fn refused(&self, command: &Command) -> Option<Reply> {
        let current = self.in_force.as_ref()?;
        if command.number() > current.number {
            return None;
        }
        Some(Reply::Refused { number: current.number, submission: current.submission.clone() })
    }

    fn version(&self, command: Command) -> Option<Version> {
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

    /// Drops answers out of the window, but never that of the version in force.
    fn forget(&mut self) {
        while self.order.len() > 1 && self.first_is_over() {
            if let Some((_, submission)) = self.order.pop_front() {
                self.kept.remove(&submission);
            }
        }
    }

    fn first_is_over(&self) -> bool {
        let Some((at, _)) = self.order.front() else { return false };
        self.order.len() >= KEPT_COUNT || self.clock.saturating_sub(*at) > KEPT_AGE
    }
}

fn snapshot_error(error: postcard::Error) -> Error {
    Error::Snapshot { reason: error.to_string() }
}
