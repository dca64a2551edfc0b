use std::fs::File;
use std::fs::OpenOptions;
use std::io::Read;
use std::io::Seek;
use std::io::SeekFrom;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread::JoinHandle;

use super::Error;
use super::Line;
use super::Micros;
use crate::settings;

/// Number of bytes at the end of a recording that are searched for the last complete line.
const TAIL_BYTES: u64 = 65_536;

/// Writes the inputs of a process's machines to a file; does nothing by default.
///
/// A stalled disk must not stall traffic, so lines go through a bounded queue to a writer
/// thread. If the queue is full, lines are dropped and counted, and the count is written
/// before the next line, because a replay may then differ. Recording stops at a size limit,
/// because the disk also holds state that must not be lost for lack of space.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    writer: Option<Arc<Writer>>,
}

#[derive(Debug)]
struct Writer {
    full: Arc<AtomicBool>,
    lost: Arc<AtomicU64>,
    sender: Option<SyncSender<Line>>,
    thread: Option<JoinHandle<()>>,
}

impl Recorder {
    /// Maximum number of queued lines: about 2 MB at 250 bytes each.
    pub const QUEUE_MAX: usize = 8192;

    /// Opens the file in `record` for appending, or returns a recorder that does nothing if
    /// `record` is `None`. An incomplete last line, left by a crash, is removed.
    ///
    /// # Errors
    /// If the file can't be opened or the writer thread can't be started.
    pub fn open(record: Option<&settings::Record>) -> Result<Self, Error> {
        let Some(record) = record else { return Ok(Self::default()) };
        let path = &record.file;
        let open_error = |source| Error::Open { path: path.clone(), source };
        let (file, length) = open(path).map_err(open_error)?;
        let (sender, receiver) = sync_channel(Self::QUEUE_MAX);
        let (full, lost) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let worker = Worker {
            file,
            full: Arc::clone(&full),
            limit: record.limit,
            lost: Arc::clone(&lost),
            length,
        };
        let thread = std::thread::Builder::new().name("record".into());
        let thread = thread.spawn(move || worker.write_all(&receiver)).map_err(open_error)?;
        let writer = Writer { full, lost, sender: Some(sender), thread: Some(thread) };
        Ok(Self { writer: Some(Arc::new(writer)) })
    }

    /// Whether lines are recorded: the recorder has a file and its limit is not reached.
    pub fn is_on(&self) -> bool {
        self.writer.as_ref().is_some_and(|writer| !writer.full.load(Ordering::Relaxed))
    }

    /// Queues a line for writing, or drops and counts it if the queue is full. Never blocks.
    pub fn record(&self, line: Line) {
        let Some(writer) = &self.writer else { return };
        let Some(sender) = &writer.sender else { return };
        if sender.try_send(line).is_err() {
            writer.lost.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        drop(self.sender.take());
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

/// State of the writer thread.
struct Worker {
    file: File,
    full: Arc<AtomicBool>,
    length: u64,
    limit: u64,
    lost: Arc<AtomicU64>,
}

impl Worker {
    fn write_all(mut self, lines: &Receiver<Line>) {
        let mut last = Micros::default();
        for line in lines {
            last = line.at_us;
            self.write_lost(last);
            self.write(&line);
        }
        self.write_lost(last);
    }

    fn write_lost(&mut self, at_us: Micros) {
        let count = self.lost.swap(0, Ordering::Relaxed);
        if count > 0 {
            self.write(&Line { at_us, lost: Some(count), ..Line::default() });
        }
    }

    /// Writes a complete line. If that fails or exceeds the limit, removes the partial line and
    /// stops recording, because later lines would follow an unmarked gap.
    fn write(&mut self, line: &Line) {
        if self.full.load(Ordering::Relaxed) {
            return;
        }
        let Ok(mut bytes) = serde_json::to_vec(line) else { return };
        bytes.push(b'\n');
        let length = self.length + bytes.len() as u64;
        if length > self.limit || self.file.write_all(&bytes).is_err() {
            self.file.set_len(self.length).ok();
            self.full.store(true, Ordering::Relaxed);
            return;
        }
        self.length = length;
    }
}

/// Opens a recording, removes an incomplete last line, and returns the file with its length.
fn open(path: &Path) -> std::io::Result<(File, u64)> {
    let mut file = OpenOptions::new().read(true).append(true).create(true).open(path)?;
    let length = file.metadata()?.len();
    let start = length.saturating_sub(TAIL_BYTES);
    file.seek(SeekFrom::Start(start))?;
    let mut tail = Vec::new();
    file.read_to_end(&mut tail)?;
    let complete = tail.iter().rposition(|byte| *byte == b'\n').map_or(0, |index| index + 1);
    let length = start + complete as u64;
    file.set_len(length)?;
    Ok((file, length))
}
