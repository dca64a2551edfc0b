use serde::Deserialize;
use serde::Serialize;

use super::Outcome;
use crate::clock::Moment;
use crate::id::CallerId;
use crate::id::ClassId;
use crate::id::Key;

/// A request that wants to be run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Arrival {
    /// Who sent it.
    pub caller: CallerId,
    /// Its class; an unknown one counts as the last.
    pub class: ClassId,
    /// When its answer must have ended.
    pub deadline: Moment,
    /// What it is about, where many requests may be about the same: the
    /// idempotency key, or the path of a lookup.
    pub key: Option<Key>,
    /// Whether it holds a slot for long, such as an upload.
    pub long: bool,
    /// Names the request in outputs; unique among those not yet finished.
    pub ticket: u64,
}

/// What a gate is told.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Input {
    /// A request came.
    Arrive(Arrival),
    /// The caller is gone. A waiting request is dropped without an answer; a
    /// running one keeps its slot until `Finish` says that the upstream let go.
    Cancel {
        /// The request.
        ticket: u64,
    },
    /// Slots that this entry may fill; `None` lets the gate learn them.
    Capacity {
        /// Requests at once.
        slots: Option<usize>,
    },
    /// A request that ran has ended, in whatever way.
    Finish {
        /// How it ended.
        outcome: Outcome,
        /// The request.
        ticket: u64,
    },
    /// Time has passed; due at [`Gate::wake`](super::Gate::wake).
    Tick,
}
