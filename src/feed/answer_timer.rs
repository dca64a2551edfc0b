//! How long an entry waits for an answer of a control.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Moment;

/// Shortest timeout: twenty times the round trip between failure domains with the smallest CPU share.
const MIN_TIMEOUT: Duration = Duration::from_millis(350);
/// Longest timeout. A silent control has to be left within the time in which a change takes effect.
const MAX_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout as a multiple of the longest recent wait.
const TIMEOUT_FACTOR: f64 = 1.5;
/// Part of the longest wait that counts after another answer.
const DECAY: f64 = 0.75;
/// Polls of which an answer may still tell how long it took.
const MAX_POLLS: usize = 8;

/// Learns how long answers take, also those that come after their timeout. On a link that callers fill a
/// fixed timeout gives up controls that have answered, one after the other.
#[derive(Clone, Debug, Default)]
pub(super) struct AnswerTimer {
    /// Longest recent wait for an answer.
    longest: Duration,
    /// Sequence numbers of the last polls, and when they were sent.
    polls: VecDeque<(u64, Moment)>,
}

impl AnswerTimer {
    /// Longest wait for an answer.
    pub(super) fn timeout(&self) -> Duration {
        self.longest.mul_f64(TIMEOUT_FACTOR).clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }

    /// Records that a poll was sent.
    pub(super) fn start(&mut self, now: Moment, sequence: u64) {
        self.polls.push_back((sequence, now));
        if self.polls.len() > MAX_POLLS {
            self.polls.pop_front();
        }
    }

    /// Records the answer to a poll.
    pub(super) fn finish(&mut self, now: Moment, sequence: u64) {
        let Some(at) = self.polls.iter().position(|(sent, _)| *sent == sequence) else { return };
        let Some((_, sent_at)) = self.polls.remove(at) else { return };
        self.longest = now.saturating_sub(sent_at).max(self.longest.mul_f64(DECAY));
    }
}
