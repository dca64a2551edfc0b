use crate::clock::Moment;
use crate::health::Digest;
use crate::model::Answer;

/// An upstream that an agent chose, by position in the plan.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Choice {
    /// What the agent wants back at the end, such as the number of a ticket.
    pub token: u64,
    /// Upstream.
    pub upstream: usize,
}

/// The decisions of one entry.
pub trait Agent {
    /// A request ended.
    fn finish(&mut self, now: Moment, choice: Choice, answer: &Answer);

    /// Another entry's evidence.
    fn hear(&mut self, _now: Moment, _digest: &Digest) {}

    /// Chooses an upstream, none of `avoid`.
    fn pick(&mut self, now: Moment, avoid: &[usize]) -> Option<Choice>;

    /// Time went on by [`crate::health::Config::TICK`]; returns evidence for one
    /// other entry, by position, or for all.
    fn tick(&mut self, _now: Moment) -> Vec<(Option<usize>, Digest)> {
        Vec::new()
    }
}
