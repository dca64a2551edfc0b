//! Order of the events in an upstream's life.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::State;
use crate::id::Incarnation;

/// Position of an event in the life of an upstream. The greatest one decides, so that the events of
/// one upstream lead to the same state in whatever order they are heard, and however often.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Life {
    /// Start of the upstream.
    pub incarnation: Incarnation,
    /// Return within the same incarnation; 0 where returns are not counted.
    pub revision: u32,
    /// A start that drains does not become ready again, and one that is gone does not drain.
    pub state: State,
    /// Number of the announcement; 0 where announcements have none.
    pub sequence: u64,
}

impl Life {
    /// Position of a start's end, which no announcement of that start is newer than.
    pub fn end(incarnation: Incarnation) -> Self {
        Self { incarnation, revision: 0, state: State::Gone, sequence: 0 }
    }
}

impl fmt::Display for Life {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { incarnation, revision, state, sequence } = self;
        write!(f, "{state:?} {sequence} of start {incarnation}.{revision}")
    }
}
