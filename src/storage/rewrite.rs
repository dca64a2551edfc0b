//! Copies what a snapshot leaves of a log file.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::disk::Disk;
use super::error::Error;
use super::frame;
use super::frame::Frame;
use super::scan::Scan;
use crate::id::Index;
use crate::id::Term;
use crate::quorum::Entry;
use crate::quorum::Payload;
use crate::quorum::Record;
use crate::quorum::Recovered;
use crate::quorum::Snapshot;

/// A log file that is being written. It gets its name once all of it is synced, so that each frame may
/// state that what is before it was.
#[derive(Debug)]
pub(super) struct Draft<'a> {
    disk: &'a mut dyn Disk,
    file: &'a str,
    /// Frames so far.
    pub(super) frames: u64,
    /// Bytes so far.
    pub(super) length: u64,
}

impl<'a> Draft<'a> {
    /// Starts an empty file.
    ///
    /// # Errors
    ///
    /// An error of the file system, here and below.
    pub(super) fn start(disk: &'a mut dyn Disk, file: &'a str) -> Result<Self, Error> {
        disk.truncate(file, 0).map_err(|source| Error::from_io(file, source))?;
        Ok(Self { disk, file, frames: 0, length: 0 })
    }

    /// Writes what is needed of the file `log` after the snapshot. Frames are copied one by one, as the
    /// file may be as large as the memory.
    pub(super) fn copy_after(&mut self, log: &str, snapshot: Arc<Snapshot>) -> Result<(), Error> {
        let snapshot_id = (snapshot.index, snapshot.term);
        let mut recovered = Recovered::default();
        let mut scan = Scan::new(self.disk, log)?;
        while let Some(frame) = scan.next_frame(self.disk)? {
            frame.records.into_iter().map(without_command).for_each(|it| recovered.apply(it));
        }
        recovered.apply(Record::Snapshot(snapshot));
        let kept: BTreeSet<(Index, Term)> =
            recovered.entries.iter().map(|entry| (entry.index, entry.term)).collect();
        let ballot = Record::Ballot { term: recovered.term, vote: recovered.vote };
        let identity = recovered.identity.map(Record::Identity);
        self.add(identity.into_iter().chain([ballot]).collect(), Some(snapshot_id))?;
        if !kept.is_empty() {
            self.copy_entries(log, &kept)?;
        }
        self.add(Vec::new(), None)
    }

    fn copy_entries(&mut self, log: &str, kept: &BTreeSet<(Index, Term)>) -> Result<(), Error> {
        let mut scan = Scan::new(self.disk, log)?;
        while let Some(Frame { mut records, .. }) = scan.next_frame(self.disk)? {
            records.retain(|record| match record {
                Record::Entry(entry) => kept.contains(&(entry.index, entry.term)),
                _ => false,
            });
            if !records.is_empty() {
                self.add(records, None)?;
            }
        }
        Ok(())
    }

    fn add(&mut self, records: Vec<Record>, snapshot: Option<(Index, Term)>) -> Result<(), Error> {
        let frame = Frame { number: self.frames, records, snapshot, synced: self.length };
        let bytes = frame::encode(self.file, &frame)?;
        let written = self.disk.append(self.file, &bytes);
        written.map_err(|source| Error::from_io(self.file, source))?;
        self.frames += 1;
        self.length += bytes.len() as u64;
        Ok(())
    }
}

/// The record, without its command if it is an entry.
fn without_command(record: Record) -> Record {
    match record {
        Record::Entry(entry) => Record::Entry(Entry { payload: Payload::Blank, ..entry }),
        record => record,
    }
}
