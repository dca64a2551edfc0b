use std::collections::BTreeMap;
use std::path::Path;

use compact_str::CompactString;

use super::Error;
use super::Line;
use super::Machine;
use super::Report;
use super::runner::Runner;
use crate::clock::Moment;

/// A validated trace.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// Lines with their line numbers, from 1.
    lines: Vec<(usize, Line)>,
}

impl Trace {
    /// Reads and validates the trace in the file at `path`.
    ///
    /// # Errors
    /// If the file can't be read, or for its first invalid line.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let read_error = |source| Error::Read { path: path.into(), source };
        let bytes = std::fs::read(path).map_err(read_error)?;
        Self::parse(path, &String::from_utf8_lossy(&bytes))
    }

    /// Validates the trace in `text`; `path` is used in errors only.
    ///
    /// # Errors
    /// For the first invalid line, or if there are no lines.
    pub fn parse(path: &Path, text: &str) -> Result<Self, Error> {
        let mut lines = Vec::new();
        let mut machines = BTreeMap::new();
        for (index, text) in text.lines().enumerate() {
            let number = index + 1;
            let line_error = |reason| Error::Line { line: number, path: path.into(), reason };
            if text.trim().is_empty() {
                continue;
            }
            let line: Line =
                serde_json::from_str(text).map_err(|error| line_error(describe(text, &error)))?;
            line.check().and_then(|()| check_in_order(&line, &mut machines)).map_err(line_error)?;
            lines.push((number, line));
        }
        if lines.is_empty() {
            let reason = "the trace is empty; its first line says which `machine`".into();
            return Err(Error::Line { line: 1, path: path.into(), reason });
        }
        Ok(Self { lines })
    }

    /// Replays the trace and checks its expectations.
    pub fn run(&self) -> Report {
        Runner::default().run(&self.lines)
    }
}

/// Validates a line against the machines created so far, with the time of the last line of
/// each, and updates them.
fn check_in_order(
    line: &Line,
    machines: &mut BTreeMap<CompactString, (Machine, Moment)>,
) -> Result<(), String> {
    let at = line.at_us.0;
    if let Some(machine) = &line.machine {
        machine.check()?;
        machines.insert(line.of.clone(), (machine.clone(), at));
        return Ok(());
    }
    if line.lost.is_some() {
        return Ok(());
    }
    let Some((machine, latest)) = machines.get_mut(&line.of) else {
        return Err(format!("no `machine` named `{}` was made before", line.of));
    };
    if at < *latest {
        return Err(format!("`{}` µs lies before the line above", at.as_micros()));
    }
    *latest = at;
    if line.input.as_ref().is_some_and(|input| !machine.accepts(input)) {
        return Err(format!("machine `{}` takes no such `input`", line.of));
    }
    if line.expect.as_ref().is_some_and(|expect| !machine.supports(expect)) {
        return Err(format!("machine `{}` answers no such `expect`", line.of));
    }
    Ok(())
}

/// Error message with the start of the line.
fn describe(text: &str, error: &serde_json::Error) -> String {
    const MAX_CHARS: usize = 60;
    let start: String = text.chars().take(MAX_CHARS).collect();
    format!("`{start}` can't be read: {error}")
}
