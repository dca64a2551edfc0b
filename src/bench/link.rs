//! Bytes of links on loopback.

use std::env;
use std::fmt::Write;
use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::process;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use stop_token::StopSource;

use crate::id::NodeId;
use crate::keys;
use crate::keys::Authority;
use crate::link::Endpoint;
use crate::link::Settings;

/// Frames of each size.
const FRAMES: u32 = 500;
/// Sizes of frames: a probe, a digest with its neighbours, a batch of claims.
const SIZES: [usize; 3] = [40, 200, 2000];
/// Time in which the idle link is watched: four keep-alives and a half.
const IDLE: Duration = Duration::from_secs(45);
/// Time after which a link has settled.
const SETTLED: Duration = Duration::from_secs(2);
/// Longest wait for a frame.
const PATIENCE: Duration = Duration::from_secs(10);

/// Two endpoints with one link.
struct Pair {
    a: Endpoint,
    b: Endpoint,
    frames: Receiver<Vec<u8>>,
    _stop: StopSource,
}

/// Prints the bytes of a handshake, of frames and of an idle link, both ways and
/// with IP and UDP headers. Takes about a minute.
///
/// # Errors
///
/// A message of the slice that failed.
pub fn run() -> Result<String, String> {
    let folder = env::temp_dir().join(format!("hemlockfield-link-{}", process::id()));
    let report = Pair::start(&folder).and_then(|pair| pair.measure());
    let _ = fs::remove_dir_all(&folder);
    report
}

impl Pair {
    fn start(folder: &Path) -> Result<Self, String> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let authority = Authority::create(folder, now).map_err(text)?;
        let stop = StopSource::new();
        let (sender, frames) = channel();
        let open = |id: &str, sender: Option<Sender<Vec<u8>>>| {
            let keys = issue(&authority, folder, id, now)?;
            let settings =
                Settings::new(id.into(), SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), keys);
            let receiver = move |_: &NodeId, frame| {
                sender.iter().for_each(|sender| drop(sender.send(Vec::clone(&frame))));
            };
            Endpoint::start(settings, Box::new(receiver), stop.token()).map_err(text)
        };
        let (a, b) = (open("a", None)?, open("b", Some(sender))?);
        a.set_addresses([("b".into(), b.address().map_err(text)?)]);
        a.set_wanted(&[NodeId::from("b")].into());
        Ok(Self { a, b, frames, _stop: stop })
    }

    fn measure(&self) -> Result<String, String> {
        let mut report = String::new();
        self.pass(SIZES[0])?;
        thread::sleep(SETTLED);
        let _ = writeln!(report, "handshake and one frame: {} bytes", self.bytes());
        for size in SIZES {
            let (before, start) = (self.bytes(), Instant::now());
            (0..FRAMES).try_for_each(|_| self.pass(size))?;
            let each = start.elapsed() / FRAMES;
            thread::sleep(SETTLED);
            let bytes = (self.bytes() - before) / u64::from(FRAMES);
            let _ = writeln!(
                report,
                "frame of {size} bytes, alone: {bytes} bytes, {} us",
                each.as_micros()
            );
        }
        let before = self.bytes();
        thread::sleep(IDLE);
        let rate = (self.bytes() - before) as f64 / IDLE.as_secs_f64();
        let _ = writeln!(report, "idle link: {rate:.1} bytes/s, {:.0} KB an hour", rate * 3.6);
        Ok(report)
    }

    /// Sends one frame and waits for it.
    fn pass(&self, size: usize) -> Result<(), String> {
        self.a.send(&"b".into(), vec![7; size]);
        self.frames.recv_timeout(PATIENCE).map(drop).map_err(text)
    }

    /// Bytes both ways, as the dialling end counts them.
    fn bytes(&self) -> u64 {
        debug_assert!(self.b.status().refused == 0);
        let peers = self.a.status().peers;
        peers.iter().map(|peer| peer.sent_bytes + peer.received_bytes).sum()
    }
}

fn issue(
    authority: &Authority,
    folder: &Path,
    id: &str,
    now: Duration,
) -> Result<keys::Paths, String> {
    authority.issue(&folder.join(id), id, now, Duration::from_secs(3600)).map_err(text)
}

fn text(error: impl ToString) -> String {
    error.to_string()
}
