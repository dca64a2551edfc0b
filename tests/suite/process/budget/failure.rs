//! Ways in which an upstream fails requests.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

/// Requests of which some are failed by their ids.
const GROUP: u64 = 10;

/// One way of failing a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Failure {
    /// An answer that ends before its length.
    Cut,
    /// The connection ends before an answer.
    End,
    /// A failure of the upstream's own.
    Error,
    /// Bytes that are no answer.
    Garbage,
    /// Another upstream was meant.
    Misdirected,
    /// A refusal, as not run.
    Refusal,
    /// The connection is reset before an answer.
    Reset,
    /// A refusal, as not run, that asks for rest and ends the connection.
    Rest,
    /// No answer.
    Silence,
    /// A good answer that comes late.
    Slow,
    /// An answer without the upstream's signature.
    Unsigned,
}

/// Which requests an upstream fails, and how.
#[derive(Clone, Copy, Debug)]
pub(super) enum Failures {
    /// As many of ten by their ids, in all ways.
    Mixed(u64),
    /// As many of ten by their ids, by a refusal.
    Refusals(u64),
}

impl Failures {
    /// Ways of those that fail in all; the most usual more than once.
    const WAYS: [Failure; 16] = [
        Failure::Refusal,
        Failure::End,
        Failure::Silence,
        Failure::Error,
        Failure::Cut,
        Failure::Reset,
        Failure::Slow,
        Failure::Garbage,
        Failure::Refusal,
        Failure::End,
        Failure::Silence,
        Failure::Error,
        Failure::Unsigned,
        Failure::Misdirected,
        Failure::Rest,
        Failure::Slow,
    ];

    /// How a request fails at the upstream at this address, if it does.
    pub(super) fn of(self, number: u64, address: &str) -> Option<Failure> {
        let (Self::Mixed(failed) | Self::Refusals(failed)) = self;
        if number % GROUP >= failed {
            return None;
        }
        if let Self::Refusals(_) = self {
            return Some(Failure::Refusal);
        }
        let mut hash = DefaultHasher::new();
        (number, address).hash(&mut hash);
        Some(Self::WAYS[hash.finish() as usize % Self::WAYS.len()])
    }
}
