//! Difference between two versions by short segments of their text.

use std::collections::HashMap;
use std::sync::Arc;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::id::SubmissionId;

use super::Error;
use super::Head;
use super::Version;

/// One part of the document that a patch produces.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Step {
    /// Bytes taken from the base.
    Copy {
        /// Offset of the first byte in the base.
        offset: u64,
        /// Number of bytes.
        length: u64,
    },
    /// New text.
    Insert(CompactString),
}

/// Difference that turns one version into a later one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Patch {
    /// Version that it starts from.
    pub base: Head,
    /// Version that it produces.
    pub head: Head,
    /// Parts of the new document, in order.
    pub steps: Vec<Step>,
    /// Submission that brought the new version.
    pub submission: SubmissionId,
}

impl Patch {
    /// Computes the difference from `base` to `version` in time linear in both documents.
    ///
    /// A segment is copied from where the previous copy ends if the base continues with it,
    /// otherwise from its first occurrence in the base. A moved or repeated segment therefore
    /// costs an extra step but never produces a wrong text. Where one segment replaces another,
    /// the base continues after it, and nothing is looked up.
    pub fn between(base: &Version, version: &Version) -> Self {
        let mut source = Source::new(&base.document);
        let mut steps = Vec::new();
        let mut segments = segments(&version.document).peekable();
        while let Some(segment) = segments.next() {
            let offset = if source.continues_with(segment) {
                Some(source.position)
            } else if source.skip_replaced_before(segments.peek().copied()) {
                None
            } else {
                source.find(segment)
            };
            match offset {
                Some(offset) => {
                    push_copy(&mut steps, offset, segment.len());
                    source.position = offset + segment.len();
                }
                None => push_insert(&mut steps, segment),
            }
        }
        Self {
            base: base.head(),
            head: version.head(),
            steps,
            submission: version.submission.clone(),
        }
    }

    /// Applies the patch to `base`.
    ///
    /// # Errors
    ///
    /// [`Error::Base`] when the patch starts from another version, [`Error::Step`] when a
    /// step copies outside the base or the document gets too large, [`Error::Hash`] when the
    /// result does not have the announced hash.
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
            if document.len() > MAX_DOCUMENT_BYTES {
                return Err(Error::Step { number });
            }
        }
        let version =
            Version { document: Arc::from(document), number, submission: self.submission.clone() };
        if version.head() == self.head { Ok(version) } else { Err(Error::Hash { number }) }
    }

    /// Encoded size in bytes, accurate to a few bytes per step.
    pub fn size(&self) -> usize {
        let steps = self.steps.iter().map(|step| match step {
            Step::Copy { .. } => STEP_BYTES,
            Step::Insert(text) => text.len() + STEP_BYTES,
        });
        HEADER_BYTES + self.submission.len() + steps.sum::<usize>()
    }
}

/// Largest document that a patch may produce, in bytes, so that a damaged patch with many
/// copies can't exhaust memory. It is eight times the 1 MB expected in two years.
const MAX_DOCUMENT_BYTES: usize = 8 << 20;
/// Encoded size of a step without text: a tag and two variable-length numbers below 2^21.
const STEP_BYTES: usize = 7;
/// Encoded size of a patch without steps and submission: two heads and two lengths.
const HEADER_BYTES: usize = 32;

/// Splits a document after each line and each closing brace. Programs write JSON in one line, where
/// an object is a route or a team.
fn segments(document: &str) -> impl Iterator<Item = &str> {
    document.split_inclusive(['\n', '}'])
}

/// Document that segments are copied from.
struct Source<'a> {
    document: &'a str,
    /// First occurrence of each segment, once one had to be looked up.
    offsets: Option<HashMap<&'a str, usize>>,
    /// End of the last copy.
    position: usize,
}

impl<'a> Source<'a> {
    fn new(document: &'a str) -> Self {
        Self { document, offsets: None, position: 0 }
    }

    fn rest(&self) -> &'a str {
        self.document.get(self.position..).unwrap_or_default()
    }

    fn continues_with(&self, segment: &str) -> bool {
        self.rest().starts_with(segment)
    }

    /// Skips the next segment if `next` follows it; returns whether it does.
    fn skip_replaced_before(&mut self, next: Option<&str>) -> bool {
        let Some(replaced) = segments(self.rest()).next() else { return false };
        let follows = next.is_some_and(|next| self.rest()[replaced.len()..].starts_with(next));
        if follows {
            self.position += replaced.len();
        }
        follows
    }

    fn find(&mut self, segment: &str) -> Option<usize> {
        let document = self.document;
        let offsets = self.offsets.get_or_insert_with(|| segment_offsets(document));
        offsets.get(segment).copied()
    }
}

fn segment_offsets(document: &str) -> HashMap<&str, usize> {
    let mut offsets = HashMap::new();
    let mut offset = 0;
    for segment in segments(document) {
        offsets.entry(segment).or_insert(offset);
        offset += segment.len();
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

fn push_insert(steps: &mut Vec<Step>, segment: &str) {
    match steps.last_mut() {
        Some(Step::Insert(text)) => text.push_str(segment),
        _ => steps.push(Step::Insert(segment.into())),
    }
}

fn slice(document: &str, offset: u64, length: u64) -> Option<&str> {
    let start = usize::try_from(offset).ok()?;
    let end = start.checked_add(usize::try_from(length).ok()?)?;
    document.get(start..end)
}
