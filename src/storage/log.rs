//! The log of one replica.

use std::sync::Arc;

use super::disk::Disk;
use super::error::Error;
use super::frame;
use super::frame::Frame;
use crate::id::Index;
use crate::id::Term;
use crate::quorum::Record;
use crate::quorum::Recovered;
use crate::quorum::Snapshot;

/// Prefix of a log file; its generation follows, and the highest one counts.
const LOG: &str = "log-";
/// Prefix of a snapshot file; its position and term follow.
const SNAPSHOT: &str = "snapshot-";
/// File that is not complete yet.
const DRAFT: &str = "draft";

/// Log of one replica in a data folder.
///
/// A snapshot starts a new log file, written and synced under another name, with
/// what is still needed; the old one is removed. After an error the log is
/// closed: what a failed sync has kept, nobody can tell, and a second sync may
/// say it is well. Opening the folder again reads what is really there.
#[derive(Debug)]
pub struct Log {
    closed: bool,
    disk: Box<dyn Disk>,
    file: String,
    generation: u64,
    length: u64,
    next: u64,
    pending: Vec<Record>,
    synced: u64,
}

impl Log {
    /// Opens the log, cuts a torn tail, and gives what the folder knows.
    pub fn open(disk: Box<dyn Disk>) -> Result<(Self, Recovered), Error> {
        let names = disk.list().map_err(|source| Error::of("the data folder", source))?;
        if let Some(newest) = names.iter().filter_map(|name| generation(name)).max() {
            return Self::reopen(disk, newest);
        }
        if names.iter().any(|name| name.starts_with(SNAPSHOT)) {
            return Err(Error::Missing { file: log_name(0) });
        }
        Ok((Self::blank(disk), Recovered::default()))
    }

    fn reopen(mut disk: Box<dyn Disk>, generation: u64) -> Result<(Self, Recovered), Error> {
        let file = log_name(generation);
        let bytes = disk.read(&file).map_err(|source| Error::of(&file, source))?;
        let scan = frame::scan(&file, &bytes)?;
        // Each later log was renamed only when its first frame was synced.
        if generation > 0 && scan.frames.is_empty() {
            return Err(Error::Damaged { file, offset: 0 });
        }
        let torn = scan.end < bytes.len() as u64;
        settle(disk.as_mut(), &file, torn.then_some(scan.end))?;
        let next = scan.frames.len() as u64;
        let named = scan.frames.first().and_then(|frame| frame.snapshot);
        let mut recovered = replay(scan.frames);
        recovered.snapshot = named.map(|it| read_snapshot(disk.as_ref(), it)).transpose()?;
        let (length, synced) = (scan.end, scan.end);
        let mut log = Self { file, generation, length, next, synced, ..Self::blank(disk) };
        log.sweep(named)?;
        Ok((log, recovered))
    }

    /// Takes records, in order, for the next sync.
    pub fn append(&mut self, records: &[Record]) {
        self.pending.extend_from_slice(records);
    }

    /// Writes all that was appended and syncs it once; a snapshot among it costs
    /// its own syncs. Only after `Ok` may anything depend on the records.
    pub fn sync(&mut self) -> Result<(), Error> {
        if self.closed {
            return Err(Error::Closed { file: self.file.clone() });
        }
        self.closed = true;
        let mut records = Vec::new();
        for record in std::mem::take(&mut self.pending) {
            match record {
                Record::Snapshot(snapshot) => {
                    self.write_frame(std::mem::take(&mut records))?;
                    self.save_snapshot(snapshot)?;
                }
                record => records.push(record),
            }
        }
        self.write_frame(records)?;
        self.closed = false;
        Ok(())
    }

    /// Size of the log file, in bytes, without the snapshot.
    pub fn length(&self) -> u64 {
        self.length
    }

    fn blank(disk: Box<dyn Disk>) -> Self {
        Self {
            closed: false,
            disk,
            file: log_name(0),
            generation: 0,
            length: 0,
            next: 0,
            pending: Vec::new(),
            synced: 0,
        }
    }

    fn write_frame(&mut self, records: Vec<Record>) -> Result<(), Error> {
        if records.is_empty() {
            return Ok(());
        }
        let first = self.next == 0;
        self.write(records)?;
        self.disk.sync(&self.file).map_err(|source| Error::of(&self.file, source))?;
        self.synced = self.length;
        if first {
            self.disk.sync_names().map_err(|source| Error::of(&self.file, source))?;
        }
        self.seal()
    }

    /// Writes an empty frame, which needs no sync of its own. Once the system has
    /// written it back, damage to the last records of an idle log is told from a
    /// torn tail.
    fn seal(&mut self) -> Result<(), Error> {
        self.write(Vec::new())
    }

    fn write(&mut self, records: Vec<Record>) -> Result<(), Error> {
        let frame = Frame { number: self.next, records, snapshot: None, synced: self.synced };
        let bytes = frame::encode(&self.file, &frame)?;
        if let Err(source) = self.disk.append(&self.file, &bytes) {
            // A part that stays is cut as a torn tail when the folder is opened.
            let _ = self.disk.truncate(&self.file, self.length);
            return Err(Error::of(&self.file, source));
        }
        self.length += bytes.len() as u64;
        self.next += 1;
        Ok(())
    }

    /// Saves the snapshot, then starts a log that continues it. A crash at any
    /// point leaves the old log with its snapshot, or the new one with its own.
    fn save_snapshot(&mut self, snapshot: Arc<Snapshot>) -> Result<(), Error> {
        let named = (snapshot.index, snapshot.term);
        let file = snapshot_name(named);
        self.write_whole(&file, &frame::encode(&file, snapshot.as_ref())?)?;
        let mut recovered = self.reread()?;
        recovered.apply(Record::Snapshot(snapshot));
        let records = records_of(recovered);
        let file = log_name(self.generation + 1);
        let bytes =
            frame::encode(&file, &Frame { number: 0, records, snapshot: Some(named), synced: 0 })?;
        self.write_whole(&file, &bytes)?;
        self.file = file;
        self.generation += 1;
        self.length = bytes.len() as u64;
        self.synced = self.length;
        self.next = 1;
        self.sweep(Some(named))
    }

    fn reread(&self) -> Result<Recovered, Error> {
        if self.next == 0 {
            return Ok(Recovered::default());
        }
        let bytes = self.disk.read(&self.file).map_err(|source| Error::of(&self.file, source))?;
        Ok(replay(frame::scan(&self.file, &bytes)?.frames))
    }

    /// Writes a file that exists either whole or not at all.
    fn write_whole(&mut self, file: &str, bytes: &[u8]) -> Result<(), Error> {
        let disk = &mut self.disk;
        let written = disk
            .truncate(DRAFT, 0)
            .and_then(|()| disk.append(DRAFT, bytes))
            .and_then(|()| disk.sync(DRAFT))
            .and_then(|()| disk.rename(DRAFT, file))
            .and_then(|()| disk.sync_names());
        if written.is_err() {
            // Gives a full disk its space back; opening the folder does it too.
            let _ = disk.remove(DRAFT);
        }
        written.map_err(|source| Error::of(file, source))
    }

    /// Removes the files that nothing names any more.
    fn sweep(&mut self, named: Option<(Index, Term)>) -> Result<(), Error> {
        let kept = named.map(snapshot_name);
        let names = self.disk.list().map_err(|source| Error::of(&self.file, source))?;
        for name in names {
            let ours = name == DRAFT || name.starts_with(SNAPSHOT) || generation(&name).is_some();
            if ours && name != self.file && Some(&name) != kept.as_ref() {
                self.disk.remove(&name).map_err(|source| Error::of(&name, source))?;
            }
        }
        Ok(())
    }
}

/// Cuts a torn tail, and makes what a crash may have left unsynced last.
fn settle(disk: &mut dyn Disk, file: &str, cut: Option<u64>) -> Result<(), Error> {
    let settled = cut
        .map_or(Ok(()), |length| disk.truncate(file, length))
        .and_then(|()| disk.sync(file))
        .and_then(|()| disk.sync_names());
    settled.map_err(|source| Error::of(file, source))
}

fn replay(frames: Vec<Frame>) -> Recovered {
    let mut recovered = Recovered::default();
    for record in frames.into_iter().flat_map(|frame| frame.records) {
        recovered.apply(record);
    }
    recovered
}

fn records_of(recovered: Recovered) -> Vec<Record> {
    let identity = recovered.identity.map(Record::Identity);
    let ballot = Record::Ballot { term: recovered.term, vote: recovered.vote };
    let entries = recovered.entries.into_iter().map(Record::Entry);
    identity.into_iter().chain([ballot]).chain(entries).collect()
}

fn read_snapshot(disk: &dyn Disk, named: (Index, Term)) -> Result<Arc<Snapshot>, Error> {
    let file = snapshot_name(named);
    let bytes = match disk.read(&file) {
        Ok(bytes) => bytes,
        Err(source) if source.kind() == std::io::ErrorKind::NotFound => {
            return Err(Error::Missing { file });
        }
        Err(source) => return Err(Error::of(&file, source)),
    };
    frame::decode(&file, 0, &bytes).map(Arc::new)
}

fn generation(name: &str) -> Option<u64> {
    u64::from_str_radix(name.strip_prefix(LOG)?, 16).ok()
}

fn log_name(generation: u64) -> String {
    format!("{LOG}{generation:016x}")
}

fn snapshot_name((index, term): (Index, Term)) -> String {
    format!("{SNAPSHOT}{index:016x}-{term:016x}")
}
