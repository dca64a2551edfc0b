use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use super::Expect;
use super::Input;
use super::Machine;
use super::Micros;

/// One line of a trace; holds exactly one of `expect`, `input`, `lost` and `machine`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Line {
    /// Time since the start of the process.
    pub at_us: Micros,
    /// Interval at which the `input` is repeated until `until_us`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub every_us: Option<Micros>,
    /// Expectation that must hold at that time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub expect: Option<Expect>,
    /// Input of the machine.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub input: Option<Input>,
    /// Number of inputs that the recorder dropped before this line.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lost: Option<u64>,
    /// Creates a machine, which replaces any of the same name.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub machine: Option<Machine>,
    /// Name of the machine; may be empty if the trace has only one.
    #[serde(skip_serializing_if = "CompactString::is_empty")]
    pub of: CompactString,
    /// Last time at which the `input` may be repeated.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub until_us: Option<Micros>,
    /// Why callers or operators need the expectation to hold.
    #[serde(skip_serializing_if = "CompactString::is_empty")]
    pub why: CompactString,
}

impl Line {
    /// Maximum number of repeats of one input; bounds the run time of a trace.
    pub(super) const MAX_REPEATS: u128 = 100_000;

    /// Validates the line without regard to other lines.
    ///
    /// # Errors
    /// Describes what is wrong.
    pub(super) fn check(&self) -> Result<(), String> {
        let parts = [
            self.expect.is_some(),
            self.input.is_some(),
            self.lost.is_some(),
            self.machine.is_some(),
        ];
        if parts.iter().filter(|part| **part).count() != 1 {
            return Err("write one of `expect`, `input`, `lost` and `machine`".into());
        }
        match (self.every_us, self.until_us) {
            (None, None) => Ok(()),
            (Some(every), Some(until)) => self.check_repeat(every, until),
            _ => Err("`every_us` and `until_us` go together".into()),
        }
    }

    fn check_repeat(&self, every: Micros, until: Micros) -> Result<(), String> {
        if self.input.is_none() {
            return Err("only an `input` is repeated by `every_us`".into());
        }
        let span = until.0.saturating_sub(self.at_us.0).as_nanos();
        match span.checked_div(every.0.as_nanos()) {
            None => Err("`every_us` is `0`".into()),
            Some(count) if count > Self::MAX_REPEATS => {
                Err(format!("`{count}` repeats; at most `{}`", Self::MAX_REPEATS))
            }
            Some(_) => Ok(()),
        }
    }
}
