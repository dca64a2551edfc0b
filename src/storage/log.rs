//! Log of one replica on disk.

use std::sync::Arc;

use super::disk::Disk;
use super::error::Error;
use super::frame;
use super::frame::Frame;
use super::rewrite::Draft;
use super::scan::Scan;
use crate::id::Index;
use crate::id::Term;
use crate::quorum::Record;
use crate::quorum::Recovered;
use crate::quorum::Snapshot;

/// Prefix of the name of a log file, followed by its generation; the highest one is
/// current.
const LOG_PREFIX: &str = "log-";
/// Prefix of the name of a snapshot file, followed by its index and term.
const SNAPSHOT_PREFIX: &str = "snapshot-";
/// Name of a file that is not complete yet.
const TEMPORARY_FILE: &str = "draft";

/// Log of one replica in a data folder.
///
/// Saving a snapshot starts a new log file with the records that are still needed. The
/// snapshot and then the new log file are each written and synced under a temporary name
/// and renamed; only then are the old files removed. After an error the log is closed: it
/// is unknown what a failed sync has written, and a second sync may wrongly succeed.
/// Opening the folder again reads what is on disk.
#[derive(Debug)]
pub struct Log {
    is_closed: bool,
    disk: Box<dyn Disk>,
    file: String,
    generation: u64,
    length: u64,
    next_frame: u64,
    pending: Vec<Record>,
    synced_length: u64,
}

impl Log {
    /// Opens the log, truncates a torn tail, removes obsolete files and returns the
    /// recovered state.
    ///
    /// # Errors
    ///
    /// [`Error::Damaged`], [`Error::Missing`] or [`Error::Unreadable`] for the contents;
    /// otherwise an error of the file system.
    pub fn open(disk: Box<dyn Disk>) -> Result<(Self, Recovered), Error> {
        let names = disk.list().map_err(|source| Error::from_io("the data folder", source))?;
        if let Some(newest) = names.iter().filter_map(|name| generation(name)).max() {
            return Self::reopen(disk, newest);
        }
        if names.iter().any(|name| name.starts_with(SNAPSHOT_PREFIX)) {
            return Err(Error::Missing { file: log_name(0) });
        }
        Ok((Self::empty(disk), Recovered::default()))
    }

    fn reopen(mut disk: Box<dyn Disk>, generation: u64) -> Result<(Self, Recovered), Error> {
        let file = log_name(generation);
        let mut scan = Scan::new(disk.as_ref(), &file)?;
        let (mut recovered, snapshot_id) = replay(disk.as_ref(), &mut scan)?;
        let (next_frame, length, is_torn) = (scan.count(), scan.end(), scan.is_torn());
        // A later log file gets its name only after its first frame is synced.
        if generation > 0 && next_frame == 0 {
            return Err(Error::Damaged { file, offset: 0 });
        }
        sync_recovered(disk.as_mut(), &file, is_torn.then_some(length))?;
        recovered.snapshot = snapshot_id.map(|it| read_snapshot(disk.as_ref(), it)).transpose()?;
        let synced_length = length;
        let mut log =
            Self { file, generation, length, next_frame, synced_length, ..Self::empty(disk) };
        log.remove_obsolete(snapshot_id)?;
        tracing::info!(
            target: "hemlockfield::storage",
            file = log.file, bytes = log.length, entries = recovered.entries.len(),
            snapshot = snapshot_id.map(|(index, _)| index), "log opened"
        );
        Ok((log, recovered))
    }

    /// Queues records for the next sync, in order.
    pub fn append(&mut self, records: &[Record]) {
        self.pending.extend_from_slice(records);
    }

    /// Writes all queued records and syncs them once; each snapshot among them needs
    /// further syncs. Nothing may depend on the records before this returns `Ok`.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`] after an earlier error; otherwise an error of the file system, or,
    /// if a snapshot is queued, one of reading the current log file.
    pub fn sync(&mut self) -> Result<(), Error> {
        if self.is_closed {
            return Err(Error::Closed { file: self.file.clone() });
        }
        self.is_closed = true;
        let mut records = Vec::new();
        for record in std::mem::take(&mut self.pending) {
            match record {
                Record::Snapshot(snapshot) => {
                    self.sync_records(std::mem::take(&mut records))?;
                    self.save_snapshot(snapshot)?;
                }
                record => records.push(record),
            }
        }
        self.sync_records(records)?;
        self.is_closed = false;
        Ok(())
    }

    /// Size of the current log file in bytes; a snapshot is a separate file.
    pub fn length(&self) -> u64 {
        self.length
    }

    fn empty(disk: Box<dyn Disk>) -> Self {
        Self {
            is_closed: false,
            disk,
            file: log_name(0),
            generation: 0,
            length: 0,
            next_frame: 0,
            pending: Vec::new(),
            synced_length: 0,
        }
    }

    fn sync_records(&mut self, records: Vec<Record>) -> Result<(), Error> {
        if records.is_empty() {
            return Ok(());
        }
        let is_first = self.next_frame == 0;
        self.write_frame(records)?;
        self.disk.sync(&self.file).map_err(|source| Error::from_io(&self.file, source))?;
        self.synced_length = self.length;
        if is_first {
            self.disk.sync_names().map_err(|source| Error::from_io(&self.file, source))?;
        }
        self.write_sync_marker()
    }

    /// Writes an empty frame, unsynced, that states how much of the file is synced. Once
    /// the operating system has written it to disk, [`Self::open`] can tell damage to the
    /// records before it from a torn tail, also in an idle log.
    fn write_sync_marker(&mut self) -> Result<(), Error> {
        self.write_frame(Vec::new())
    }

    fn write_frame(&mut self, records: Vec<Record>) -> Result<(), Error> {
        let frame =
            Frame { number: self.next_frame, records, snapshot: None, synced: self.synced_length };
        let bytes = frame::encode(&self.file, &frame)?;
        if let Err(source) = self.disk.append(&self.file, &bytes) {
            // If this fails, the partial frame is truncated as a torn tail at the next open.
            let _ = self.disk.truncate(&self.file, self.length);
            return Err(Error::from_io(&self.file, source));
        }
        self.length += bytes.len() as u64;
        self.next_frame += 1;
        Ok(())
    }

    /// Saves the snapshot, then starts a log file that follows it. Needs an existing log
    /// file: a crash at any point then leaves the old log file with its snapshot, if it has
    /// one, or the new one with its own; unused files may remain.
    fn save_snapshot(&mut self, snapshot: Arc<Snapshot>) -> Result<(), Error> {
        let snapshot_id = (snapshot.index, snapshot.term);
        let file = snapshot_name(snapshot_id);
        self.write_atomically(&file, &frame::encode(&file, snapshot.as_ref())?)?;
        let file = log_name(self.generation + 1);
        let (frames, length) = self.write_log(&file, snapshot)?;
        tracing::info!(
            target: "hemlockfield::storage",
            file, bytes = length, bytes_before = self.length, snapshot = snapshot_id.0,
            "log compacted"
        );
        self.file = file;
        self.generation += 1;
        self.length = length;
        self.synced_length = self.length;
        self.next_frame = frames;
        self.remove_obsolete(Some(snapshot_id))
    }

    /// Writes a log file that follows the snapshot; returns its frames and bytes.
    fn write_log(&mut self, file: &str, snapshot: Arc<Snapshot>) -> Result<(u64, u64), Error> {
        let copied = Draft::start(self.disk.as_mut(), TEMPORARY_FILE).and_then(|mut draft| {
            draft.copy_after(&self.file, snapshot)?;
            Ok((draft.frames, draft.length))
        });
        if copied.is_err() {
            let _ = self.disk.remove(TEMPORARY_FILE);
        }
        let copied = copied?;
        self.name_draft(file)?;
        Ok(copied)
    }

    /// Writes a file atomically: after a crash it is complete, or as it was before.
    fn write_atomically(&mut self, file: &str, bytes: &[u8]) -> Result<(), Error> {
        let disk = &mut self.disk;
        let written =
            disk.truncate(TEMPORARY_FILE, 0).and_then(|()| disk.append(TEMPORARY_FILE, bytes));
        if let Err(source) = written {
            // Frees space on a full disk; `reopen` would remove the file too.
            let _ = disk.remove(TEMPORARY_FILE);
            return Err(Error::from_io(file, source));
        }
        self.name_draft(file)
    }

    /// Syncs the temporary file and gives it its name.
    fn name_draft(&mut self, file: &str) -> Result<(), Error> {
        let disk = &mut self.disk;
        let named = disk
            .sync(TEMPORARY_FILE)
            .and_then(|()| disk.rename(TEMPORARY_FILE, file))
            .and_then(|()| disk.sync_names());
        if named.is_err() {
            let _ = disk.remove(TEMPORARY_FILE);
        }
        named.map_err(|source| Error::from_io(file, source))
    }

    /// Removes all log, snapshot and temporary files except the current ones.
    fn remove_obsolete(&mut self, snapshot_id: Option<(Index, Term)>) -> Result<(), Error> {
        let kept = snapshot_id.map(snapshot_name);
        let names = self.disk.list().map_err(|source| Error::from_io(&self.file, source))?;
        for name in names {
            let is_ours = name == TEMPORARY_FILE
                || name.starts_with(SNAPSHOT_PREFIX)
                || generation(&name).is_some();
            if is_ours && name != self.file && Some(&name) != kept.as_ref() {
                self.disk.remove(&name).map_err(|source| Error::from_io(&name, source))?;
            }
        }
        Ok(())
    }
}

/// Truncates a torn tail and syncs what a crash may have left unsynced.
fn sync_recovered(disk: &mut dyn Disk, file: &str, truncate_to: Option<u64>) -> Result<(), Error> {
    let synced = truncate_to
        .map_or(Ok(()), |length| disk.truncate(file, length))
        .and_then(|()| disk.sync(file))
        .and_then(|()| disk.sync_names());
    synced.map_err(|source| Error::from_io(file, source))
}

/// State after all records of a log file, and the snapshot that the file follows.
fn replay(
    disk: &dyn Disk,
    scan: &mut Scan<'_>,
) -> Result<(Recovered, Option<(Index, Term)>), Error> {
    let mut recovered = Recovered::default();
    let mut snapshot_id = None;
    while let Some(frame) = scan.next_frame(disk)? {
        if frame.number == 0 {
            snapshot_id = frame.snapshot;
        }
        frame.records.into_iter().for_each(|record| recovered.apply(record));
    }
    Ok((recovered, snapshot_id))
}

fn read_snapshot(disk: &dyn Disk, snapshot_id: (Index, Term)) -> Result<Arc<Snapshot>, Error> {
    let file = snapshot_name(snapshot_id);
    let bytes = match disk.read(&file) {
        Ok(bytes) => bytes,
        Err(source) if source.kind() == std::io::ErrorKind::NotFound => {
            return Err(Error::Missing { file });
        }
        Err(source) => return Err(Error::from_io(&file, source)),
    };
    frame::decode(&file, 0, &bytes).map(Arc::new)
}

fn generation(name: &str) -> Option<u64> {
    u64::from_str_radix(name.strip_prefix(LOG_PREFIX)?, 16).ok()
}

fn log_name(generation: u64) -> String {
    format!("{LOG_PREFIX}{generation:016x}")
}

fn snapshot_name((index, term): (Index, Term)) -> String {
    format!("{SNAPSHOT_PREFIX}{index:016x}-{term:016x}")
}
