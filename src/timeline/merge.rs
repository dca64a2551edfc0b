//! Events of many files in causal order.

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

/// Reads files of events and puts them in one order.
///
/// The order is that of the stamps, which respects cause and effect between
/// processes, and that of the lines within a file, which respects it within a
/// process even where its stamps went back.
#[derive(Debug, Default)]
pub struct Merge {
    events: Vec<Placed>,
    notes: Vec<Note>,
}

#[derive(Debug)]
struct Placed {
    event: Event,
    file: usize,
    line: usize,
    stamp: Stamp,
}

impl Merge {
    /// Merges the files at `paths`. What can't be read is left out and noted.
    pub fn read(paths: &[PathBuf], filter: &Filter) -> Report {
        let mut merge = Self::default();
        for (file, path) in paths.iter().enumerate() {
            match std::fs::read(path) {
                Ok(bytes) => merge.take(file, path, &String::from_utf8_lossy(&bytes)),
                Err(error) => {
                    let reason = error.to_string();
                    merge.notes.push(Note::Unreadable { path: path.clone(), reason });
                }
            }
        }
        merge.finish(filter)
    }

    fn take(&mut self, file: usize, path: &Path, text: &str) {
        let complete = text.ends_with('\n');
        let count = text.lines().count();
        let mut highest = Stamp::default();
        let mut previous = Stamp::default();
        for (index, text) in text.lines().enumerate() {
            let line = index + 1;
            let Ok(event) = serde_json::from_str::<Event>(text) else {
                self.reject(path, line, line == count && !complete);
                continue;
            };
            if event.stamp < previous {
                let by = previous.wall().saturating_sub(event.stamp.wall());
                self.notes.push(Note::Backwards { by, line, path: path.into() });
            }
            previous = event.stamp;
            highest = highest.max(event.stamp);
            self.events.push(Placed { event, file, line, stamp: highest });
        }
    }

    fn reject(&mut self, path: &Path, line: usize, truncated: bool) {
        let path = path.into();
        let note = if truncated { Note::Truncated { path } } else { Note::Damaged { line, path } };
        self.notes.push(note);
    }

    fn finish(mut self, filter: &Filter) -> Report {
        self.note_missing();
        self.events.retain(|placed| filter.admits(&placed.event));
        self.events.sort_by(|a, b| {
            let place = |placed: &Placed| (placed.stamp, placed.file, placed.line);
            place(a).cmp(&place(b))
        });
        let events = self.events.into_iter().map(|placed| placed.event).collect();
        Report::new(events, self.notes)
    }

    fn note_missing(&mut self) {
        let present: BTreeSet<&NodeId> =
            self.events.iter().map(|placed| &placed.event.vm).collect();
        let mut named: BTreeMap<&NodeId, usize> = BTreeMap::new();
        for peer in self.events.iter().filter_map(|placed| placed.event.peer.as_ref()) {
            if !present.contains(peer) {
                *named.entry(peer).or_default() += 1;
            }
        }
        let missing = |(vm, events): (&NodeId, usize)| Note::Missing { events, vm: vm.clone() };
        let notes: Vec<Note> = named.into_iter().map(missing).collect();
        self.notes.extend(notes);
    }
}
