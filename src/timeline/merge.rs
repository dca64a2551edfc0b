//! Merges the events of several files in causal order.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::path::Path;
use std::path::PathBuf;

use crate::id::NodeId;
use crate::timeline::Event;
use crate::timeline::Filter;
use crate::timeline::Note;
use crate::timeline::Report;
use crate::timeline::Stamp;

/// Merge of several event files.
///
/// Events are sorted by stamp, which keeps effects after their causes across processes. Events
/// of one file keep the order of their lines, also where the stamps in the file decrease.
#[derive(Debug, Default)]
pub struct Merge {
    events: Vec<SourceEvent>,
    notes: Vec<Note>,
}

#[derive(Debug)]
struct SourceEvent {
    event: Event,
    file: usize,
    line: usize,
    stamp: Stamp,
}

impl Merge {
    /// Merges the files at `paths` and keeps the events that match `filter`. Files and lines that
    /// can't be read are left out and reported as notes.
    pub fn read(paths: &[PathBuf], filter: &Filter) -> Report {
        let mut merge = Self::default();
        for (file, path) in paths.iter().enumerate() {
            match std::fs::read(path) {
                Ok(bytes) => merge.add_file(file, path, &String::from_utf8_lossy(&bytes)),
                Err(error) => {
                    let reason = error.to_string();
                    merge.notes.push(Note::Unreadable { path: path.clone(), reason });
                }
            }
        }
        merge.finish(filter)
    }

    fn add_file(&mut self, file: usize, path: &Path, text: &str) {
        let is_complete = text.ends_with('\n');
        let line_count = text.lines().count();
        let mut max_stamp = Stamp::default();
        let mut previous = Stamp::default();
        for (index, text) in text.lines().enumerate() {
            let line = index + 1;
            let Ok(event) = serde_json::from_str::<Event>(text) else {
                self.note_invalid_line(path, line, line == line_count && !is_complete);
                continue;
            };
            if event.stamp < previous {
                let by = previous.wall().saturating_sub(event.stamp.wall());
                self.notes.push(Note::Backwards { by, line, path: path.into() });
            }
            previous = event.stamp;
            max_stamp = max_stamp.max(event.stamp);
            self.events.push(SourceEvent { event, file, line, stamp: max_stamp });
        }
    }

    fn note_invalid_line(&mut self, path: &Path, line: usize, is_truncated: bool) {
        let path = path.into();
        let note =
            if is_truncated { Note::Truncated { path } } else { Note::Damaged { line, path } };
        self.notes.push(note);
    }

    fn finish(mut self, filter: &Filter) -> Report {
        self.note_missing_processes();
        self.events.retain(|source| filter.matches(&source.event));
        self.events.sort_by(|a, b| {
            let position = |source: &SourceEvent| (source.stamp, source.file, source.line);
            position(a).cmp(&position(b))
        });
        let events = self.events.into_iter().map(|source| source.event).collect();
        Report::new(events, self.notes)
    }

    fn note_missing_processes(&mut self) {
        let present: BTreeSet<&NodeId> =
            self.events.iter().map(|source| &source.event.vm).collect();
        let mut reference_counts: BTreeMap<&NodeId, usize> = BTreeMap::new();
        for peer in self.events.iter().filter_map(|source| source.event.peer.as_ref()) {
            if !present.contains(peer) {
                *reference_counts.entry(peer).or_default() += 1;
            }
        }
        let missing_note =
            |(vm, events): (&NodeId, usize)| Note::Missing { events, vm: vm.clone() };
        let notes: Vec<Note> = reference_counts.into_iter().map(missing_note).collect();
        self.notes.extend(notes);
    }
}
