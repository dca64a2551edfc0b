use std::collections::BTreeMap;
use std::path::Path;

use compact_str::CompactString;

use super::Error;
use super::Line;
use super::Machine;
use super::Report;
use super::run::Run;
use crate::clock::Moment;

/// A checked trace.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// Lines with their numbers, from 1.
    lines: Vec<(usize, Line)>,
}

impl Trace {
    /// Reads the trace in the file at `path`.
    ///
    /// # Errors
    /// When the file can't be read, or for its first line that is no part of a trace.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let wrong = |source| Error::Read { path: path.into(), source };
        let bytes = std::fs::read(path).map_err(wrong)?;
        Self::parse(path, &String::from_utf8_lossy(&bytes))
    }

    /// Reads the trace in `text`; `path` names it in errors.
    ///
    /// # Errors
    /// For the first line that is no part of a trace.
    pub fn parse(path: &Path, text: &str) -> Result<Self, Error> {
        let mut lines = Vec::new();
        let mut known = BTreeMap::new();
        for (index, text) in text.lines().enumerate() {
            let number = index + 1;
            let wrong = |reason| Error::Line { line: number, path: path.into(), reason };
            if text.trim().is_empty() {
                continue;
            }
            let line: Line =
                serde_json::from_str(text).map_err(|error| wrong(shown(text, &error)))?;
            line.check().and_then(|()| place(&line, &mut known)).map_err(wrong)?;
            lines.push((number, line));
        }
        if lines.is_empty() {
            let reason = "the trace is empty; its first line says which `machine`".into();
            return Err(Error::Line { line: 1, path: path.into(), reason });
        }
        Ok(Self { lines })
    }

    /// Runs the machines through the trace.
    pub fn run(&self) -> Report {
        Run::default().all(&self.lines)
    }
}

/// Checks a line against the machines made so far.
fn place(
    line: &Line,
    known: &mut BTreeMap<CompactString, (Machine, Moment)>,
) -> Result<(), String> {
    let at = line.at_us.0;
    if let Some(machine) = &line.machine {
        machine.check()?;
        known.insert(line.of.clone(), (machine.clone(), at));
        return Ok(());
    }
    if line.lost.is_some() {
        return Ok(());
    }
    let Some((machine, latest)) = known.get_mut(&line.of) else {
        return Err(format!("no `machine` named `{}` was made before", line.of));
    };
    if at < *latest {
        return Err(format!("`{}` µs lies before the line above", at.as_micros()));
    }
    *latest = at;
    if line.input.as_ref().is_some_and(|input| !machine.takes(input)) {
        return Err(format!("machine `{}` takes no such `input`", line.of));
    }
    if line.expect.as_ref().is_some_and(|expect| !machine.answers(expect)) {
        return Err(format!("machine `{}` answers no such `expect`", line.of));
    }
    Ok(())
}

/// The value at fault, cut to a readable length.
fn shown(text: &str, error: &serde_json::Error) -> String {
    const LENGTH: usize = 60;
    let start: String = text.chars().take(LENGTH).collect();
    format!("`{start}` can't be read: {error}")
}
