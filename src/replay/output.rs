use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::admission;
use crate::clock::Moment;
use crate::health;
use crate::retry::Decision;

/// Output of one of the machines.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Output {
    /// Output of an admission gate.
    Gate(admission::Output),
    /// Whether a retry policy allows a hedge.
    Hedge(bool),
    /// Output of a health monitor.
    Judge(health::Output),
    /// Decision of a retry policy after a failed attempt.
    Policy(Decision),
}

/// An output with its time and the machine that produced it.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedOutput {
    /// Time of the output.
    pub at: Moment,
    /// Name of the machine.
    pub of: CompactString,
    /// The output itself.
    pub output: Output,
}
