use serde::Deserialize;
use serde::Serialize;

/// Why the judge changed a verdict, or did not.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reason {
    /// Failures beyond its own past and its peers.
    Failing,
    /// The floor: ejecting it would leave too little capacity.
    Floor,
    /// Most of its peers fail at the same time, so the cause lies elsewhere.
    Shared,
    /// No answers or no connections, beyond its own past and its peers.
    Silent,
    /// Answers slower than its own past, while its peers' are not.
    Slow,
    /// Its trial went well.
    Tried,
}
