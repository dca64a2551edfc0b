//! Difference between two versions, by lines.

use std::collections::HashMap;
use std::sync::Arc;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::id::SubmissionId;

use super::Error;
use super::Head;
use super::Version;

/// Part of a patched document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Step {
    /// Bytes taken from the base.
    Copy {
        /// First byte in the base.
        offset: u64,
        /// Number of bytes.
        length: u64,
    },
    /// Text that the base does not have at this place.
    Insert(CompactString),
}

/// What turns one version into a later one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Patch {
    /// Version that it starts from.
    pub base: Head,
    /// Version that it leads to.
    pub head: Head,
    /// Parts of the new document in their order.
    pub steps: Vec<Step>,
    /// Submission of the new version.
    pub submission: SubmissionId,
}

impl Patch {
    /// Difference from `base` to `version`, in time linear in both documents.
    ///
    /// A line is matched with its first like in the base, unless the copy before
    /// it runs on; so a moved or repeated line costs a step, never a wrong text.
    pub fn between(base: &Version, version: &Version) -> Self {
        let lines = line_offsets(&base.document);
        let mut steps = Vec::new();
        let mut rest = 0;
        for line in version.document.split_inclusive('\n') {
            let offset = match base.document.get(rest..) {
                Some(next) if next.starts_with(line) => Some(rest),
                _ => lines.get(line).copied(),
            };
            match offset {
                Some(offset) => {
                    push_copy(&mut steps, offset, line.len());
                    rest = offset + line.len();
                }
                None => push_insert(&mut steps, line),
            }
        }
        Self {
            base: base.head(),
            head: version.head(),
            steps,
            submission: version.submission.clone(),
        }
    }

    /// The version that it leads to.
    ///
    /// # Errors
    ///
    /// [`Error::Base`] for another base, [`Error::Step`] for bytes outside it,
    /// [`Error::Hash`] when the outcome is not the announced document.
    pub fn apply(&self, base: &Version) -> Result<Version, Error> {
        let number = self.head.number;
        if base.head() != self.base {
            return Err(Error::Base { number });
        }
        let mut document = String::new();
        for step in &self.steps {
            match step {
                Step::Copy { offset, length } => {
                    let part =
                        slice(&base.document, *offset, *length).ok_or(Error::Step { number })?;
                    document.push_str(part);
                }
                Step::Insert(text) => document.push_str(text),
            }
            if document.len() > DOCUMENT_LIMIT {
                return Err(Error::Step { number });
            }
        }
        let version =
            Version { document: Arc::from(document), number, submission: self.submission.clone() };
        if version.head() == self.head { Ok(version) } else { Err(Error::Hash { number }) }
    }

    /// Encoded size in bytes, to within a few bytes a step.
    pub fn size(&self) -> usize {
        let steps = self.steps.iter().map(|step| match step {
            Step::Copy { .. } => COPY_BYTES,
            Step::Insert(text) => text.len() + COPY_BYTES,
        });
        FRAME_BYTES + self.submission.len() + steps.sum::<usize>()
    }
}

/// Largest document that a patch may make, so that a damaged patch of repeated
/// copies can't exhaust memory; eight times the two-year document of 1 MB.
const DOCUMENT_LIMIT: usize = 8 << 20;
/// A step's tag and two variable-length numbers below 2^21.
const COPY_BYTES: usize = 7;
/// Two heads and two lengths.
const FRAME_BYTES: usize = 32;

fn line_offsets(document: &str) -> HashMap<&str, usize> {
    let mut offsets = HashMap::new();
    let mut offset = 0;
    for line in document.split_inclusive('\n') {
        offsets.entry(line).or_insert(offset);
        offset += line.len();
    }
    offsets
}

fn push_copy(steps: &mut Vec<Step>, offset: usize, count: usize) {
    let (offset, count) = (offset as u64, count as u64);
    match steps.last_mut() {
        Some(Step::Copy { offset: start, length }) if *start + *length == offset => {
            *length += count;
        }
        _ => steps.push(Step::Copy { length: count, offset }),
    }
}

fn push_insert(steps: &mut Vec<Step>, line: &str) {
    match steps.last_mut() {
        Some(Step::Insert(text)) => text.push_str(line),
        _ => steps.push(Step::Insert(line.into())),
    }
}

fn slice(document: &str, offset: u64, length: u64) -> Option<&str> {
    let start = usize::try_from(offset).ok()?;
    let end = start.checked_add(usize::try_from(length).ok()?)?;
    document.get(start..end)
}
