use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use super::Expect;
use super::Input;
use super::Machine;
use super::Micros;

/// One line of a trace: exactly one of `expect`, `input`, `lost` and `machine`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Line {
    /// Time since the start of the process.
    pub at_us: Micros,
    /// With `input` and `until_us`: it comes again, each time after this long.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub every_us: Option<Micros>,
    /// What must hold at that moment.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub expect: Option<Expect>,
    /// What the machine is told.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub input: Option<Input>,
    /// Inputs that the recorder could not write just before.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lost: Option<u64>,
    /// A machine made anew; it takes the place of one of the same name.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub machine: Option<Machine>,
    /// Name of the machine, where a trace holds several.
    #[serde(skip_serializing_if = "CompactString::is_empty")]
    pub of: CompactString,
    /// Last moment of a repeated input.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub until_us: Option<Micros>,
    /// Why callers or operators need it.
    #[serde(skip_serializing_if = "CompactString::is_empty")]
    pub why: CompactString,
}

impl Line {
    /// Most repeats of one input; bounds the time that a trace can take.
    pub(super) const REPEATS: u128 = 100_000;

    /// What is wrong with the line by itself.
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
        let length = until.0.saturating_sub(self.at_us.0).as_nanos();
        match length.checked_div(every.0.as_nanos()) {
            None => Err("`every_us` is `0`".into()),
            Some(count) if count > Self::REPEATS => {
                Err(format!("`{count}` repeats; at most `{}`", Self::REPEATS))
            }
            Some(_) => Ok(()),
        }
    }
}
