use serde::Deserialize;
use serde::Serialize;

use super::Outcome;
use crate::clock::Moment;
use crate::id::CallerId;
use crate::id::ClassId;
use crate::id::Key;

/// A request that asks for admission.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Arrival {
    /// Caller that sent the request.
    pub caller: CallerId,
    /// Class of the request. An unknown one is treated as the last class.
    pub class: ClassId,
    /// When the response must be complete.
    pub deadline: Moment,
    /// What the request is about, if many requests may be about the same: the idempotency key, or
    /// the path of a lookup.
    pub key: Option<Key>,
    /// Whether the request holds a slot for long, such as an upload.
    pub long: bool,
    /// Identifies the request in outputs; unique among unfinished requests.
    pub ticket: u64,
}

/// Input of a gate.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Input {
    /// A request arrived.
    Arrive(Arrival),
    /// The caller has left. A waiting request is dropped without a response; a running one keeps
    /// its slot until `Finish` reports that the upstream has released it.
    Cancel {
        /// Ticket of the request.
        ticket: u64,
    },
    /// Number of slots that this entry may use; `None` lets the gate learn it.
    Capacity {
        /// Number of requests that may run at once.
        slots: Option<usize>,
    },
    /// A running request has ended, successfully or not.
    Finish {
        /// How it ended.
        outcome: Outcome,
        /// Ticket of the request.
        ticket: u64,
    },
    /// Time has passed. Due at [`Gate::wake`](super::Gate::wake).
    Tick,
}
