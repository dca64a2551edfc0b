use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::admission;
use crate::clock::Moment;
use crate::health;
use crate::retry::Decision;

/// What one of the machines decided.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Output {
    /// A gate.
    Gate(admission::Output),
    /// A retry policy: whether a second copy goes out.
    Hedge(bool),
    /// A judge.
    Judge(health::Output),
    /// A retry policy.
    Policy(Decision),
}

/// An output with its moment and machine.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedOutput {
    /// When.
    pub at: Moment,
    /// Which machine.
    pub of: CompactString,
    /// What it decided.
    pub output: Output,
}
