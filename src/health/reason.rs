use serde::Deserialize;
use serde::Serialize;

/// Why an upstream was ejected, kept or readmitted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reason {
    /// More failures than its baseline and its peers.
    Failing,
    /// Ejecting it would leave less capacity than the floor.
    Floor,
    /// Most of its peers have a fault at the same time, so the cause is shared.
    Shared,
    /// More missing answers or connections than its baseline and its peers.
    Silent,
    /// Slower than its baseline, while its peers are not.
    Slow,
    /// Its trial passed.
    Tried,
}
