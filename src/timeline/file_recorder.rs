//! Writes events to a file as JSON lines.

use std::fs::File;
use std::fs::OpenOptions;
use std::io::Read;
use std::io::Seek;
use std::io::SeekFrom;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread::JoinHandle;

use crate::timeline::Error;
use crate::timeline::Event;
use crate::timeline::Kind;
use crate::timeline::Recorder;
use crate::timeline::Stamp;

/// Number of bytes at the end of a file that are searched for the last complete event. An event
/// takes a few hundred bytes.
const TAIL_BYTES: u64 = 65_536;

/// Appends each event to a file as one line, from a dedicated thread.
///
/// A stalled disk must not block requests: when the queue is full, events are dropped and
/// counted, and a [`Kind::EventsLost`] event with the count precedes the next event written.
#[derive(Debug)]
pub struct FileRecorder {
    last: Option<Stamp>,
    lost: Arc<AtomicU64>,
    sender: Option<SyncSender<Event>>,
    writer: Option<JoinHandle<()>>,
}

impl FileRecorder {
    /// Maximum number of events that wait to be written: about 2 MB at 250 bytes each.
    pub const QUEUE_CAPACITY: usize = 8192;

    /// Opens the file at `path` for appending and creates it if it does not exist.
    ///
    /// # Errors
    /// When the file can't be opened or read, or the writer thread can't be started.
    pub fn open(path: &Path) -> Result<Self, Error> {
        let open_error = |source| Error::Open { path: path.into(), source };
        let mut file = open(path).map_err(open_error)?;
        let last = last_stamp(&mut file).map_err(open_error)?;
        let (sender, receiver) = sync_channel(Self::QUEUE_CAPACITY);
        let lost = Arc::new(AtomicU64::new(0));
        let writer_lost = Arc::clone(&lost);
        let writer = std::thread::Builder::new()
            .name("timeline".into())
            .spawn(move || write_all(file, &receiver, &writer_lost))
            .map_err(|source| Error::Thread { path: path.into(), source })?;
        Ok(Self { last, lost, sender: Some(sender), writer: Some(writer) })
    }

    /// Stamp of the last event that an earlier run of the process wrote.
    ///
    /// The clock has to observe it before it issues stamps. Otherwise, if the VM's wall clock was
    /// set back between two runs, events of the later run would sort before those of the earlier.
    pub fn last(&self) -> Option<Stamp> {
        self.last
    }
}

impl Drop for FileRecorder {
    fn drop(&mut self) {
        drop(self.sender.take());
        if let Some(writer) = self.writer.take() {
            drop(writer.join());
        }
    }
}

impl Recorder for FileRecorder {
    fn record(&self, event: Event) {
        let Some(sender) = &self.sender else { return };
        if sender.try_send(event).is_err() {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Opens the file for appending and terminates a line that a crash left incomplete. Otherwise
/// the first event of this run would continue that line and be unreadable.
fn open(path: &Path) -> std::io::Result<File> {
    let mut file = OpenOptions::new().read(true).append(true).create(true).open(path)?;
    if file.metadata()?.len() > 0 {
        let mut last = [0];
        file.seek(SeekFrom::End(-1))?;
        file.read_exact(&mut last)?;
        if last != *b"\n" {
            file.write_all(b"\n")?;
        }
    }
    Ok(file)
}

/// Returns the stamp of the last complete event in the last [`TAIL_BYTES`] bytes of the file.
fn last_stamp(file: &mut File) -> std::io::Result<Option<Stamp>> {
    let length = file.metadata()?.len();
    file.seek(SeekFrom::Start(length.saturating_sub(TAIL_BYTES)))?;
    let mut tail = Vec::new();
    file.read_to_end(&mut tail)?;
    let text = String::from_utf8_lossy(&tail);
    let event = |line: &str| serde_json::from_str::<Event>(line).ok();
    Ok(text.lines().rev().find_map(event).map(|event| event.stamp))
}

fn write_all(mut file: File, events: &Receiver<Event>, lost: &AtomicU64) {
    for event in events {
        let count = lost.swap(0, Ordering::Relaxed);
        if count > 0 {
            let lost_event = Event::new(event.stamp, event.vm.clone(), Kind::EventsLost);
            write_line(&mut file, &lost_event.detail("count", count.to_string()), lost);
        }
        write_line(&mut file, &event, lost);
    }
}

fn write_line(file: &mut File, event: &Event, lost: &AtomicU64) {
    let Ok(mut line) = serde_json::to_vec(event) else { return };
    line.push(b'\n');
    if file.write_all(&line).is_err() {
        lost.fetch_add(1, Ordering::Relaxed);
    }
}
